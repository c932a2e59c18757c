#include "membership/membership.hpp"

#include "base/hashing.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

namespace
{

constexpr absl::Duration probe_interval = absl::Seconds(1);
constexpr std::size_t updates_per_message = 10;

bool newer(member_record const& left, member_record const& right)
{
    return std::tuple(left.incarnation_, left.sequence_, left.status_) >
           std::tuple(right.incarnation_, right.sequence_, right.status_);
}

} // namespace

membership::membership(
    daemon_identity self, std::vector<endpoint> seeds, random_source random)
    : self_(std::move(self)), seeds_(std::move(seeds)), random_(random)
{
    set_self(
        {.daemon_ = self_.daemon_,
         .domain_ = self_.domain_,
         .endpoint_ = self_.endpoint_,
         .incarnation_ = self_.incarnation_,
         .sequence_ = 1});
}

void membership::announce(upstream_announcement const& announcement, absl::Time)
{
    member_record const old = self_record();
    if (old.service_ == announcement.service_ &&
        old.slots_ == announcement.slots_)
        return;
    set_self(
        {.daemon_ = old.daemon_,
         .domain_ = old.domain_,
         .endpoint_ = old.endpoint_,
         .incarnation_ = old.incarnation_,
         .sequence_ = old.sequence_ + 1,
         .status_ = old.status_,
         .service_ = announcement.service_,
         .slots_ = announcement.slots_,
         .epoch_ = old.epoch_});
}

void membership::withdraw(absl::Time now)
{
    announce({}, now);
}

void membership::set_epoch(ticket_epoch epoch, absl::Time)
{
    member_record const old = self_record();
    if (old.epoch_ == epoch)
        return;
    set_self(
        {.daemon_ = old.daemon_,
         .domain_ = old.domain_,
         .endpoint_ = old.endpoint_,
         .incarnation_ = old.incarnation_,
         .sequence_ = old.sequence_ + 1,
         .status_ = old.status_,
         .service_ = old.service_,
         .slots_ = old.slots_,
         .epoch_ = epoch});
}

void membership::set_revision(revision in_force)
{
    revision_ = in_force;
}

std::vector<outgoing_message> membership::leave(absl::Time)
{
    member_record const old = self_record();
    set_self(
        {.daemon_ = old.daemon_,
         .domain_ = old.domain_,
         .endpoint_ = old.endpoint_,
         .incarnation_ = old.incarnation_,
         .sequence_ = old.sequence_ + 1,
         .status_ = member_status::leaving,
         .service_ = old.service_,
         .slots_ = old.slots_,
         .epoch_ = old.epoch_});
    std::vector<outgoing_message> result;
    for (auto const& [id, member] : members_)
    {
        if (id != self_.daemon_ && member.domain_ == self_.domain_)
            result.push_back(
                {member.endpoint_,
                 membership_ping{++sequence_, revision_, {self_record()}}});
    }
    return result;
}

std::vector<outgoing_message>
membership::depart(endpoint successor, absl::Time now)
{
    member_record const old = self_record();
    set_self(
        {.daemon_ = old.daemon_,
         .domain_ = old.domain_,
         .endpoint_ = old.endpoint_,
         .incarnation_ = old.incarnation_,
         .sequence_ = old.sequence_ + 1,
         .status_ = member_status::gone,
         .service_ = old.service_,
         .slots_ = old.slots_,
         .epoch_ = old.epoch_,
         .successor_ = successor});
    static_cast<void>(now);
    std::vector<outgoing_message> result;
    for (auto const& [id, member] : members_)
    {
        if (id != self_.daemon_)
            result.push_back(
                {member.endpoint_,
                 membership_ping{++sequence_, revision_, {self_record()}}});
    }
    return result;
}

std::vector<outgoing_message> membership::on_ping(
    peer_identity const& from, membership_ping const& ping, absl::Time now)
{
    merge(ping.updates_, now);
    note_revision(from.endpoint_, ping.revision_);
    return {
        {from.endpoint_,
         membership_ack{ping.sequence_, revision_, updates_for_message()}}};
}

std::vector<outgoing_message> membership::on_ack(
    peer_identity const& from, membership_ack const& ack, absl::Time now)
{
    merge(ack.updates_, now);
    note_revision(from.endpoint_, ack.revision_);
    return {};
}

std::vector<outgoing_message> membership::on_indirect_ping(
    peer_identity const&, indirect_ping const&, absl::Time)
{
    return {};
}

void membership::merge(std::span<member_record const> records, absl::Time)
{
    for (member_record const& record : records)
    {
        if (record.daemon_ != self_.daemon_ && merge_one(record))
            candidates_.clear();
    }
}

std::vector<outgoing_message> membership::tick(absl::Time now)
{
    if (now < next_probe_)
        return {};
    next_probe_ = now + probe_interval;
    std::vector<endpoint> targets = seeds_;
    for (auto const& [id, member] : members_)
    {
        if (id != self_.daemon_ && member.status_ != member_status::gone)
            targets.push_back(member.endpoint_);
    }
    std::erase(targets, self_.endpoint_);
    if (targets.empty())
        return {};
    endpoint const target = targets[random_() % targets.size()];
    return {
        {target,
         membership_ping{++sequence_, revision_, updates_for_message()}}};
}

absl::Time membership::next_deadline() const
{
    return next_probe_;
}

std::span<peer_candidate const>
membership::candidates(service_name const& service)
{
    auto const [entry, missing] = candidates_.try_emplace(service);
    if (missing)
    {
        for (auto const& [id, member] : members_)
        {
            if (member.service_ != service ||
                member.status_ != member_status::alive)
                continue;
            entry->second.push_back(
                {.daemon_ = id,
                 .endpoint_ = member.endpoint_,
                 .incarnation_ = member.incarnation_,
                 .epoch_ = member.epoch_,
                 .slots_ = member.slots_,
                 .local_domain_ = member.domain_ == self_.domain_});
        }
    }
    return entry->second;
}

std::vector<member_record> membership::records() const
{
    std::vector<member_record> result;
    for (auto const& [id, member] : members_)
        result.push_back(member);
    return result;
}

member_record membership::self_record() const
{
    return members_.at(self_.daemon_);
}

std::optional<endpoint>
membership::successor_of(daemon_id const& daemon, incarnation number) const
{
    auto const found = members_.find(daemon);
    bool const departed = found != members_.end() &&
                          found->second.incarnation_ == number &&
                          found->second.status_ == member_status::gone &&
                          !found->second.successor_.empty();
    if (!departed)
        return std::nullopt;
    return found->second.successor_;
}

std::vector<endpoint>
membership::duty_owners(std::string_view duty, std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    std::uint64_t const seed = stable_hash(duty);
    for (auto const& [id, member] : members_)
    {
        if (member.domain_ == self_.domain_ &&
            member.status_ == member_status::alive)
            ranked.emplace_back(
                stable_hash(id.value(), seed), member.endpoint_);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
        result.push_back(ranked[i].second);
    return result;
}

std::optional<endpoint> membership::newer_revision_holder(revision held) const
{
    if (highest_revision_ <= held)
        return std::nullopt;
    return highest_holder_;
}

bool membership::merge_one(member_record const& record)
{
    auto const found = members_.find(record.daemon_);
    if (found != members_.end())
    {
        if (!newer(record, found->second))
            return false;
        members_.erase(found);
    }
    members_.emplace(record.daemon_, record);
    return true;
}

void membership::set_self(member_record record)
{
    members_.erase(self_.daemon_);
    members_.emplace(self_.daemon_, std::move(record));
    candidates_.clear();
}

std::vector<member_record> membership::updates_for_message()
{
    std::vector<member_record> result{self_record()};
    if (members_.empty())
        return result;
    std::size_t const start = random_() % members_.size();
    std::size_t const count = std::min(updates_per_message, members_.size());
    auto position =
        std::next(members_.begin(), static_cast<std::ptrdiff_t>(start));
    for (std::size_t i = 0; i < count; ++i)
    {
        result.push_back(position->second);
        if (++position == members_.end())
            position = members_.begin();
    }
    return result;
}

void membership::note_revision(endpoint from, revision reported)
{
    if (reported <= highest_revision_)
        return;
    highest_revision_ = reported;
    highest_holder_ = from;
}

} // namespace samphire
