#include "membership/membership.hpp"

#include "membership/membership_times.hpp"
#include "membership/record_order.hpp"
#include "membership/rendezvous_ranking.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace samphire
{

namespace
{

using times = membership_times;

/// The next record of the daemon itself.
member_record successor_record(member_record const& old, member_status status)
{
    return {
        .daemon_ = old.daemon_,
        .domain_ = old.domain_,
        .endpoint_ = old.endpoint_,
        .incarnation_ = old.incarnation_,
        .sequence_ = old.sequence_ + 1,
        .status_ = status,
        .service_ = old.service_,
        .slots_ = old.slots_,
        .epoch_ = old.epoch_,
        .successor_ = old.successor_};
}

peer_candidate candidate_of(member_record const& member, bool local)
{
    return {
        .daemon_ = member.daemon_,
        .endpoint_ = member.endpoint_,
        .incarnation_ = member.incarnation_,
        .epoch_ = member.epoch_,
        .slots_ = member.slots_,
        .local_domain_ = local};
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
         .sequence_ = 1},
        absl::InfinitePast());
}

void membership::announce(
    upstream_announcement const& announcement, absl::Time now)
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
         .epoch_ = old.epoch_},
        now);
}

void membership::withdraw(absl::Time now)
{
    announce({}, now);
}

void membership::set_epoch(ticket_epoch epoch, absl::Time now)
{
    member_record const old = self_record();
    if (epoch <= old.epoch_)
        return;
    // The sequence stays: epochs of a whole domain rise too often to be sent
    // as changes, and a daemon with an old epoch learns it from the refusal.
    table_.set(with_epoch(old, epoch), now);
    candidates_.erase(old.service_);
    queue_.add_refresh(self_record(), local_members().size());
}

void membership::learn_epoch(
    peer_identity const& guard, ticket_epoch epoch, absl::Time now)
{
    member_record const* const member = table_.find(guard.daemon_);
    bool const newer = member != nullptr &&
                       member->incarnation_ == guard.incarnation_ &&
                       epoch > member->epoch_;
    if (!newer)
        return;
    candidates_.erase(member->service_);
    table_.set(with_epoch(*member, epoch), now);
}

void membership::set_revision(revision in_force)
{
    news_ = news_ || in_force != revision_;
    revision_ = in_force;
}

std::vector<outgoing_message> membership::leave(absl::Time now)
{
    set_self(successor_record(self_record(), member_status::leaving), now);
    messages out;
    for (daemon_id const& id : local_members())
    {
        endpoint const to = table_.find(id)->endpoint_;
        out.push_back({to, membership_ack{0, revision_, {self_record()}, {}}});
    }
    return out;
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
         .successor_ = successor},
        now);
    std::vector<endpoint> told;
    for (daemon_id const& id : local_members())
        told.push_back(table_.find(id)->endpoint_);
    for (domain_name const& domain : domains())
    {
        // Gossip inside the other domain carries it on from here.
        for (std::size_t i = 0; i < times::indirect_probes; ++i)
        {
            if (auto const remote = random_remote(domain))
                told.push_back(*remote);
        }
    }
    messages out;
    for (endpoint const& to : told)
        out.push_back({to, membership_ack{0, revision_, {self_record()}, {}}});
    return out;
}

std::vector<outgoing_message> membership::on_ping(
    peer_identity const& from, membership_ping const& ping, absl::Time now)
{
    messages out;
    merge(ping.updates_, now);
    heard_from(from, out);
    sightings_.note(from.endpoint_, ping.revision_);
    member_record const* const sender = table_.find(from.daemon_);
    bool const local = sender != nullptr && sender->domain_ == self_.domain_;
    if (local && reach_.merge(ping.reach_))
        candidates_.clear();
    out.push_back({from.endpoint_, ack_for(from.endpoint_, ping.sequence_)});
    return out;
}

std::vector<outgoing_message> membership::on_ack(
    peer_identity const& from, membership_ack const& ack, absl::Time now)
{
    messages out;
    merge(ack.updates_, now);
    heard_from(from, out);
    sightings_.note(from.endpoint_, ack.revision_);
    member_record const* const sender = table_.find(from.daemon_);
    bool const local = sender != nullptr && sender->domain_ == self_.domain_;
    if (local && reach_.merge(ack.reach_))
        candidates_.clear();
    if (ack.sequence_ == 0)
        return out;
    std::erase_if(
        rounds_,
        [&](probe_round const& round)
        { return round.sequence() == ack.sequence_; });
    for (auto& [domain, probe] : remote_probes_)
        probe.answered_ = probe.answered_ || probe.sequence_ == ack.sequence_;
    if (auto const relay = relays_.take(ack.sequence_))
        out.push_back(
            {relay->asker_, ack_for(relay->asker_, relay->sequence_)});
    return out;
}

std::vector<outgoing_message> membership::on_indirect_ping(
    peer_identity const& from, indirect_ping const& request, absl::Time)
{
    membership_ping const ping = ping_for(request.target_);
    relays_.add(ping.sequence_, from.endpoint_, request.sequence_);
    return {{request.target_, ping}};
}

std::vector<outgoing_message> membership::on_list_request(
    peer_identity const& from,
    member_list_request const& request,
    absl::Time now)
{
    std::map<domain_name, std::uint64_t> differing = table_.digests();
    for (domain_digest const& known : request.known_)
    {
        auto const found = differing.find(known.domain_);
        if (found != differing.end() && found->second == known.digest_)
            differing.erase(found);
    }
    std::vector<member_record> result;
    if (differing.empty())
        return {{from.endpoint_, member_list_reply{}}};
    table_.for_each(
        [&](member_record const& member)
        {
            if (differing.contains(member.domain_))
                result.push_back(member);
        });
    for (member_record const& departed : departures_.shareable(now))
        result.push_back(departed);
    return {{from.endpoint_, member_list_reply{std::move(result)}}};
}

void membership::on_list_reply(
    peer_identity const& from, member_list_reply const& reply, absl::Time now)
{
    joined_ = true;
    member_record const* const sender = table_.find(from.daemon_);
    // Members of the own domain compare with each other; what comes from
    // another domain has to be passed on.
    bool const remote = sender != nullptr && sender->domain_ != self_.domain_;
    for (member_record const& record : reply.members_)
        merge_one(record, remote, now);
}

void membership::merge(std::span<member_record const> records, absl::Time now)
{
    for (member_record const& record : records)
        merge_one(record, true, now);
}

void membership::merge_complete(
    domain_name const& domain,
    std::span<member_record const> records,
    absl::Time now)
{
    merge(records, now);
    absl::flat_hash_set<daemon_id> listed;
    for (member_record const& record : records)
        listed.insert(record.daemon_);
    std::vector<member_record> lacking;
    table_.for_each(
        [&](member_record const& member)
        {
            bool const settled =
                table_.changed(member.daemon_) <= now - times::summary_grace;
            if (member.domain_ == domain && settled &&
                member.status_ != member_status::gone &&
                !listed.contains(member.daemon_))
                lacking.push_back(with_status(member, member_status::gone));
        });
    merge(lacking, now);
}

std::vector<outgoing_message>
membership::on_unreachable(endpoint address, absl::Time now)
{
    messages out;
    member_record const* const member = table_.at(address);
    bool const probed = member != nullptr && member->domain_ == self_.domain_ &&
                        member->daemon_ != self_.daemon_ &&
                        rounds_.size() < times::probe_rounds;
    if (probed)
        probe(*member, out, now);
    return out;
}

std::vector<outgoing_message> membership::tick(absl::Time now)
{
    messages out;
    end_rounds(out, now);
    while (auto const key = suspicions_.pop_due(now))
        end_suspicion(*key, now);
    tell_news(out, now);
    if (now < next_probe_)
        return out;
    // A random first phase spreads the probes of daemons started together.
    next_probe_ = next_probe_ == absl::InfinitePast()
                      ? now + absl::Milliseconds(random_() % 1000)
                      : now + times::probe_interval;
    table_.expire(now);
    departures_.expire(now);

    if (self_record().status_ == member_status::gone)
        return out;
    probe_next(out, now);
    warn_suspects(out);
    if (owns_duty(watch_duty))
        probe_domains(out);
    exchange_lists(out, now);
    return out;
}

absl::Time membership::next_deadline() const
{
    absl::Time next = std::min(next_probe_, suspicions_.next());
    if (news_)
        next = std::min(next, next_notice_);
    for (probe_round const& round : rounds_)
        next = std::min(next, round.next_deadline());
    return next;
}

void membership::resume(absl::Time now)
{
    rounds_.clear();
    std::vector<member_key> suspected;
    while (auto const key = suspicions_.pop_due(absl::InfiniteFuture()))
        suspected.push_back(*key);
    for (member_key const& key : suspected)
        suspicions_.set(key, now + times::suspicion);
    for (auto& [domain, probe] : remote_probes_)
        probe.answered_ = true;
    joined_ = false;
    join_attempts_ = 0;
    next_probe_ = now;
    next_exchange_ = now;
}

std::span<peer_candidate const>
membership::candidates(service_name const& service)
{
    auto const [entry, missing] = candidates_.try_emplace(service);
    if (!missing)
        return entry->second;
    std::vector<peer_candidate> reachable;
    std::vector<peer_candidate> cut_off;
    std::vector<peer_candidate> suspected;
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.service_ != service)
                return;
            bool const local = member.domain_ == self_.domain_;
            bool const reached = local || reach_.reachable(member.domain_);
            if (member.status_ == member_status::suspect)
                suspected.push_back(candidate_of(member, local));
            else if (member.status_ == member_status::alive)
                (reached ? reachable : cut_off)
                    .push_back(candidate_of(member, local));
        });
    entry->second = !reachable.empty() ? std::move(reachable)
                    : !cut_off.empty() ? std::move(cut_off)
                                       : std::move(suspected);
    return entry->second;
}

std::vector<member_record> membership::records() const
{
    std::vector<member_record> result;
    table_.for_each([&](member_record const& m) { result.push_back(m); });
    return result;
}

std::vector<member_record>
membership::records_of(domain_name const& domain) const
{
    std::vector<member_record> result;
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.domain_ == domain)
                result.push_back(member);
        });
    return result;
}

std::vector<domain_name> membership::domains() const
{
    std::vector<domain_name> result;
    for (auto const& [domain, digest] : table_.digests())
        result.push_back(domain);
    return result;
}

member_record membership::self_record() const
{
    return *table_.find(self_.daemon_);
}

std::optional<endpoint>
membership::successor_of(daemon_id const& daemon, incarnation number) const
{
    return departures_.successor_of({daemon, number});
}

std::vector<endpoint>
membership::duty_owners(std::string_view duty, std::size_t count) const
{
    rendezvous_ranking ranking(duty);
    if (self_record().status_ == member_status::alive)
        ranking.add(self_.daemon_, self_.endpoint_);
    for (daemon_id const& id : local_members())
    {
        member_record const* const member = table_.find(id);
        if (member->status_ == member_status::alive)
            ranking.add(id, member->endpoint_);
    }
    return ranking.first(count);
}

bool membership::owns_duty(std::string_view duty) const
{
    std::vector<endpoint> const owners = duty_owners(duty, duty_holders);
    return std::ranges::find(owners, self_.endpoint_) != owners.end();
}

std::optional<endpoint> membership::newer_revision_holder(revision held) const
{
    return sightings_.holder_above(held);
}

void membership::forget_revision_holder(endpoint holder)
{
    sightings_.forget(holder);
}

std::vector<endpoint> membership::random_peers(std::size_t count)
{
    std::vector<endpoint> pool;
    for (daemon_id const& id : local_members())
        pool.push_back(table_.find(id)->endpoint_);
    if (pool.empty())
        pool = seeds_;
    std::erase(pool, self_.endpoint_);
    std::shuffle(pool.begin(), pool.end(), random_);
    pool.resize(std::min(count, pool.size()));
    return pool;
}

bool membership::reachable(domain_name const& domain) const
{
    return domain == self_.domain_ || reach_.reachable(domain);
}

std::uint64_t membership::ignored_members() const
{
    return table_.ignored();
}

void membership::merge_one(
    member_record const& record, bool pass_on, absl::Time now)
{
    if (record.daemon_ == self_.daemon_ &&
        record.incarnation_ >= self_.incarnation_)
    {
        refute(record, now);
        return;
    }
    if (departures_.add(record, pass_on, now) && pass_on)
        queue_.add(record);
    if (record.daemon_ == self_.daemon_)
        return;
    member_record const* const held = table_.find(record.daemon_);
    service_name const old_service =
        held != nullptr ? held->service_ : service_name();
    bool const was_suspect =
        held != nullptr && held->status_ == member_status::suspect;
    merge_outcome const outcome = table_.merge(record, now);
    if (outcome == merge_outcome::ignored)
        return;
    candidates_.erase(old_service);
    candidates_.erase(record.service_);
    member_record const& merged = *table_.find(record.daemon_);
    if (outcome == merge_outcome::changed)
        changed(merged, was_suspect, now);
    if (!pass_on)
        return;
    if (outcome == merge_outcome::changed)
        queue_.add(merged);
    else if (merged.domain_ == self_.domain_)
        queue_.add_refresh(merged, local_members().size());
}

/// A later record of this start than the own one, which another daemon made
/// because it suspects this daemon, is answered with a higher sequence.
void membership::refute(member_record const& record, absl::Time now)
{
    member_record const own = self_record();
    bool const needed = record.incarnation_ == own.incarnation_ &&
                        own.status_ != member_status::gone &&
                        supersedes(record, own);
    if (!needed)
        return;
    set_self(
        {.daemon_ = own.daemon_,
         .domain_ = own.domain_,
         .endpoint_ = own.endpoint_,
         .incarnation_ = own.incarnation_,
         .sequence_ = record.sequence_ + 1,
         .status_ = own.status_,
         .service_ = own.service_,
         .slots_ = own.slots_,
         .epoch_ = own.epoch_},
        now);
}

void membership::set_self(member_record const& record, absl::Time now)
{
    table_.set(record, now);
    candidates_.clear();
    queue_.add(record);
    news_ = true;
}

void membership::changed(
    member_record const& record, bool was_suspect, absl::Time now)
{
    if (record.domain_ != self_.domain_)
        return;
    local_stale_ = true;
    news_ = news_ || was_suspect || record.status_ != member_status::alive;
    if (record.status_ == member_status::suspect)
        suspicions_.set(key_of(record), now + times::suspicion);
    else
        suspicions_.erase(key_of(record));
}

void membership::heard_from(peer_identity const& from, messages& out)
{
    member_record const* const member = table_.find(from.daemon_);
    if (member == nullptr)
        return;
    if (member->status_ == member_status::leaving)
        suspicions_.erase({from.daemon_, from.incarnation_});
    if (member->domain_ == self_.domain_)
        return;
    if (reach_.observe(member->domain_, true))
    {
        // The connection is back: both sides may have changed meanwhile.
        candidates_.clear();
        out.push_back({from.endpoint_, list_request()});
    }
}

/// About three members of the domain tell each suspect in each second, so that
/// it can refute although datagrams are lost.
void membership::warn_suspects(messages& out)
{
    std::vector<endpoint> warned;
    std::size_t const members = local_members().size();
    for (daemon_id const& id : local_members())
    {
        member_record const* const member = table_.find(id);
        if (member->status_ == member_status::suspect &&
            random_() % members < times::notices)
            warned.push_back(member->endpoint_);
    }
    for (endpoint const& to : warned)
        out.push_back({to, ack_for(to, 0)});
}

/// Tells the member itself too, so that it can refute.
void membership::suspect(member_key const& key, messages& out, absl::Time now)
{
    member_record const* const member = table_.find(key.daemon_);
    if (member == nullptr || member->incarnation_ != key.incarnation_)
        return;
    if (member->status_ == member_status::alive)
    {
        endpoint const address = member->endpoint_;
        merge_one(with_status(*member, member_status::suspect), true, now);
        out.push_back({address, ack_for(address, 0)});
    }
    else if (member->status_ == member_status::leaving)
        suspicions_.set(key, now + times::suspicion);
}

void membership::end_suspicion(member_key const& key, absl::Time now)
{
    member_record const* const member = table_.find(key.daemon_);
    bool const same =
        member != nullptr && member->incarnation_ == key.incarnation_;
    if (same && member->status_ != member_status::alive)
        merge_one(with_status(*member, member_status::gone), true, now);
}

void membership::probe(
    member_record const& member, messages& out, absl::Time now)
{
    membership_ping const ping = ping_for(member.endpoint_);
    rounds_.emplace_back(key_of(member), ping.sequence_, now);
    out.push_back({member.endpoint_, ping});
}

void membership::end_rounds(messages& out, absl::Time now)
{
    for (probe_round& round : rounds_)
    {
        if (round.take_indirect(now))
            probe_indirectly(round, out);
    }
    std::vector<member_key> missed;
    std::erase_if(
        rounds_,
        [&](probe_round const& round)
        {
            if (round.ended(now))
                missed.push_back(round.target());
            return round.ended(now);
        });
    for (member_key const& key : missed)
        suspect(key, out, now);
}

void membership::probe_next(messages& out, absl::Time now)
{
    auto const next = order_.next(random_, [&] { return local_members(); });
    member_record const* const member = next ? table_.find(*next) : nullptr;
    if (member != nullptr && member->status_ != member_status::gone)
    {
        probe(*member, out, now);
        return;
    }
    // Nobody to probe: the domain may have members that only a seed knows.
    for (endpoint const& seed : random_peers(1))
        out.push_back({seed, ping_for(seed)});
}

void membership::probe_indirectly(probe_round const& round, messages& out)
{
    member_record const* const target = table_.find(round.target().daemon_);
    if (target == nullptr)
        return;
    std::vector<domain_reachability> reach;
    std::vector<member_record> updates = updates_for(target->endpoint_, reach);
    out.push_back(
        {target->endpoint_,
         membership_ping{
             round.sequence(),
             revision_,
             std::move(updates),
             std::move(reach)}});
    std::size_t asked = 0;
    for (endpoint const& peer : random_peers(times::indirect_probes + 1))
    {
        if (peer == target->endpoint_ || asked == times::indirect_probes)
            continue;
        out.push_back(
            {peer, indirect_ping{round.sequence(), target->endpoint_}});
        ++asked;
    }
}

/// Probes one member of each other domain, which also carries the policy
/// revision to it and back while the platform is out.
void membership::probe_domains(messages& out)
{
    for (domain_name const& domain : domains())
    {
        if (domain == self_.domain_)
            continue;
        remote_probe& probe = remote_probes_[domain];
        if (!probe.answered_ && reach_.observe(domain, false))
            candidates_.clear();
        auto const target = random_remote(domain);
        if (!target)
            continue;
        probe = {++sequence_, false};
        out.push_back(
            {*target,
             membership_ping{probe.sequence_, revision_, {self_record()}, {}}});
    }
}

void membership::exchange_lists(messages& out, absl::Time now)
{
    if (now >= next_exchange_)
    {
        next_exchange_ =
            now +
            std::min(
                absl::Seconds(1u << std::min(join_attempts_, 5u)),
                joined_ ? times::exchange_interval : times::longest_join_wait);
        ++join_attempts_;
        // A seed now and then joins groups of members that started apart.
        bool const seed = !seeds_.empty() && (!joined_ || random_() % 8 == 0);
        endpoint const partner =
            seed ? seeds_[random_() % seeds_.size()] : endpoint();
        if (seed && partner != self_.endpoint_)
            out.push_back({partner, list_request()});
        else
            for (endpoint const& peer : random_peers(1))
                out.push_back({peer, list_request()});
    }
    if (now < next_remote_exchange_ || !owns_duty(watch_duty))
        return;
    next_remote_exchange_ = now + times::remote_exchange_interval;
    std::vector<domain_name> others = domains();
    std::erase(others, self_.domain_);
    std::erase_if(
        others, [&](auto const& domain) { return !reachable(domain); });
    if (others.empty())
        return;
    if (auto const peer = random_remote(others[random_() % others.size()]))
        out.push_back({*peer, list_request()});
}

void membership::tell_news(messages& out, absl::Time now)
{
    if (!news_ || now < next_notice_)
        return;
    news_ = false;
    next_notice_ = now + times::notice_interval;
    for (endpoint const& peer : random_peers(times::notices))
        out.push_back({peer, ack_for(peer, 0)});
}

member_list_request membership::list_request() const
{
    std::vector<domain_digest> known;
    for (auto const& [domain, digest] : table_.digests())
        known.push_back({domain, digest});
    return {std::move(known)};
}

membership_ping membership::ping_for(endpoint target)
{
    std::vector<domain_reachability> reach;
    std::vector<member_record> updates = updates_for(target, reach);
    return {++sequence_, revision_, std::move(updates), std::move(reach)};
}

membership_ack membership::ack_for(endpoint target, std::uint64_t sequence)
{
    std::vector<domain_reachability> reach;
    std::vector<member_record> updates = updates_for(target, reach);
    return {sequence, revision_, std::move(updates), std::move(reach)};
}

/// The own record, what the receiver has to refute, and queued changes, as
/// many as fit into one datagram.
std::vector<member_record> membership::updates_for(
    endpoint target, std::vector<domain_reachability>& reach)
{
    datagram_budget budget(self_);
    std::vector<member_record> result;
    budget.take(self_record());
    result.push_back(self_record());
    member_record const* const receiver = table_.at(target);
    bool const local =
        receiver != nullptr && receiver->domain_ == self_.domain_;
    if (receiver != nullptr && receiver->status_ == member_status::suspect &&
        budget.take(*receiver))
        result.push_back(*receiver);
    for (domain_reachability const& report : reach_.report())
    {
        if (local && budget.take(report))
            reach.push_back(report);
    }
    std::vector<member_record> queued =
        queue_.take(budget, local_members().size());
    for (member_record& record : queued)
        result.push_back(std::move(record));
    return result;
}

std::vector<daemon_id> const& membership::local_members() const
{
    if (!std::exchange(local_stale_, false))
        return local_;
    local_.clear();
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.domain_ == self_.domain_ &&
                member.daemon_ != self_.daemon_ &&
                member.status_ != member_status::gone)
                local_.push_back(member.daemon_);
        });
    return local_;
}

std::optional<endpoint> membership::random_remote(domain_name const& domain)
{
    if (domain == self_.domain_)
        return std::nullopt;
    std::vector<endpoint> present;
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.domain_ == domain &&
                member.status_ != member_status::gone)
                present.push_back(member.endpoint_);
        });
    if (present.empty())
        return std::nullopt;
    return present[random_() % present.size()];
}

} // namespace samphire
