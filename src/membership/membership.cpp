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

/// Returns the next record of this daemon, with the given status.
member_record next_self_record(member_record const& old, member_status status)
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
        .is_in_local_domain_ = local};
}

} // namespace

membership::membership(
    daemon_identity self, std::vector<endpoint> seeds, random_source random)
    : self_(std::move(self)), seeds_(std::move(seeds)), random_(random)
{
    set_self_record(
        {.daemon_ = self_.daemon_,
         .domain_ = self_.domain_,
         .endpoint_ = self_.endpoint_,
         .incarnation_ = self_.incarnation_,
         .sequence_ = 1},
        absl::InfinitePast());
}

void membership::update_upstream(
    upstream_announcement const& announcement, absl::Time now)
{
    member_record const old = self_record();
    if (old.service_ == announcement.service_ &&
        old.slots_ == announcement.slots_)
        return;
    set_self_record(
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

void membership::clear_upstream(absl::Time now)
{
    update_upstream({}, now);
}

void membership::set_epoch(ticket_epoch epoch, absl::Time now)
{
    member_record const old = self_record();
    if (epoch <= old.epoch_)
        return;
    // The sequence is not incremented: the epochs of a whole domain increase
    // too often to be sent as changes, and a daemon that uses an old epoch
    // learns the new one when its request is refused.
    table_.set_record(with_epoch(old, epoch), now);
    candidates_by_service_.erase(old.service_);
    update_queue_.add_refresh(self_record(), local_members().size());
}

void membership::update_guard_epoch(
    peer_identity const& guard, ticket_epoch epoch, absl::Time now)
{
    member_record const* const member = table_.find(guard.daemon_);
    bool const newer = member != nullptr &&
                       member->incarnation_ == guard.incarnation_ &&
                       epoch > member->epoch_;
    if (!newer)
        return;
    candidates_by_service_.erase(member->service_);
    table_.set_record(with_epoch(*member, epoch), now);
}

void membership::set_policy_revision(revision in_force)
{
    notice_pending_ = notice_pending_ || in_force != policy_revision_;
    policy_revision_ = in_force;
}

std::vector<outgoing_message> membership::announce_leaving(absl::Time now)
{
    set_self_record(
        next_self_record(self_record(), member_status::leaving), now);
    messages out;
    for (daemon_id const& id : local_members())
    {
        endpoint const to = table_.find(id)->endpoint_;
        out.push_back(
            {to, membership_ack{0, policy_revision_, {self_record()}, {}}});
    }
    return out;
}

std::vector<outgoing_message>
membership::announce_departure(endpoint successor, absl::Time now)
{
    member_record const old = self_record();
    set_self_record(
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
    std::vector<endpoint> receivers;
    for (daemon_id const& id : local_members())
        receivers.push_back(table_.find(id)->endpoint_);
    for (domain_name const& domain : domains())
    {
        // The receivers disseminate the record among the other members of their
        // domain.
        for (std::size_t i = 0; i < times::indirect_probe_count; ++i)
        {
            if (auto const remote = random_remote_member(domain))
                receivers.push_back(*remote);
        }
    }
    messages out;
    for (endpoint const& to : receivers)
        out.push_back(
            {to, membership_ack{0, policy_revision_, {self_record()}, {}}});
    return out;
}

std::vector<outgoing_message> membership::on_ping(
    peer_identity const& from, membership_ping const& ping, absl::Time now)
{
    messages out;
    merge(ping.updates_, now);
    on_message_from(from, out);
    highest_revision_.record(from.endpoint_, ping.revision_);
    member_record const* const sender = table_.find(from.daemon_);
    bool const local = sender != nullptr && sender->domain_ == self_.domain_;
    if (local && reachability_.merge(ping.reachability_))
        candidates_by_service_.clear();
    out.push_back({from.endpoint_, ack_for(from.endpoint_, ping.sequence_)});
    return out;
}

std::vector<outgoing_message> membership::on_ack(
    peer_identity const& from, membership_ack const& ack, absl::Time now)
{
    messages out;
    merge(ack.updates_, now);
    on_message_from(from, out);
    highest_revision_.record(from.endpoint_, ack.revision_);
    member_record const* const sender = table_.find(from.daemon_);
    bool const local = sender != nullptr && sender->domain_ == self_.domain_;
    if (local && reachability_.merge(ack.reachability_))
        candidates_by_service_.clear();
    if (ack.sequence_ == 0)
        return out;
    std::erase_if(
        probe_rounds_,
        [&](probe_round const& round)
        { return round.sequence() == ack.sequence_; });
    for (auto& [domain, probe] : remote_probes_)
        probe.answered_ = probe.answered_ || probe.sequence_ == ack.sequence_;
    if (auto const requester = relayed_probes_.take_requester(ack.sequence_))
        out.push_back(
            {requester->requester_,
             ack_for(requester->requester_, requester->sequence_)});
    return out;
}

std::vector<outgoing_message> membership::on_indirect_ping(
    peer_identity const& from, indirect_ping const& request, absl::Time)
{
    membership_ping const ping = ping_for(request.target_);
    relayed_probes_.add(ping.sequence_, from.endpoint_, request.sequence_);
    return {{request.target_, ping}};
}

std::vector<outgoing_message> membership::on_list_request(
    peer_identity const& from,
    member_list_request const& request,
    absl::Time now)
{
    std::map<domain_name, std::uint64_t> differing = table_.domain_digests();
    for (domain_digest const& known : request.known_digests_)
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
    for (member_record const& departed : departures_.departures_to_share(now))
        result.push_back(departed);
    return {{from.endpoint_, member_list_reply{std::move(result)}}};
}

void membership::on_list_reply(
    peer_identity const& from, member_list_reply const& reply, absl::Time now)
{
    has_joined_ = true;
    member_record const* const sender = table_.find(from.daemon_);
    // Members of the domain of this daemon compare lists with each other, so
    // only records from another domain are disseminated.
    bool const remote = sender != nullptr && sender->domain_ != self_.domain_;
    for (member_record const& record : reply.members_)
        merge_record(record, remote, now);
}

void membership::merge(std::span<member_record const> records, absl::Time now)
{
    for (member_record const& record : records)
        merge_record(record, true, now);
}

void membership::merge_complete_list(
    domain_name const& domain,
    std::span<member_record const> records,
    absl::Time now)
{
    merge(records, now);
    absl::flat_hash_set<daemon_id> listed;
    for (member_record const& record : records)
        listed.insert(record.daemon_);
    std::vector<member_record> missing_members;
    table_.for_each(
        [&](member_record const& member)
        {
            bool const settled = table_.changed_at(member.daemon_) <=
                                 now - times::summary_grace_period;
            if (member.domain_ == domain && settled &&
                member.status_ != member_status::gone &&
                !listed.contains(member.daemon_))
                missing_members.push_back(
                    with_status(member, member_status::gone));
        });
    merge(missing_members, now);
}

std::vector<outgoing_message>
membership::on_peer_unreachable(endpoint address, absl::Time now)
{
    messages out;
    member_record const* const member = table_.find_by_address(address);
    bool const should_probe = member != nullptr &&
                              member->domain_ == self_.domain_ &&
                              member->daemon_ != self_.daemon_ &&
                              probe_rounds_.size() < times::max_probe_rounds &&
                              random_() % (local_members().size() + 1) <
                                  times::lost_connection_probers;
    if (should_probe)
        probe_member(*member, out, now);
    return out;
}

std::vector<outgoing_message> membership::tick(absl::Time now)
{
    messages out;
    advance_probe_rounds(out, now);
    while (auto const key = suspicion_deadlines_.pop_due(now))
        declare_gone_unless_alive(*key, now);
    send_notices(out, now);
    if (now < next_probe_at_)
        return out;
    // A random delay of the first probe spreads the probes of daemons that
    // start together.
    next_probe_at_ = next_probe_at_ == absl::InfinitePast()
                         ? now + absl::Milliseconds(random_() % 1000)
                         : now + times::probe_interval;
    table_.remove_expired(now);
    departures_.remove_expired(now);

    if (self_record().status_ == member_status::gone)
        return out;
    probe_next_member(out, now);
    notify_suspects(out);
    if (owns_duty(watch_duty))
        probe_remote_domains(out);
    exchange_lists(out, now);
    return out;
}

absl::Time membership::next_deadline() const
{
    absl::Time next =
        std::min(next_probe_at_, suspicion_deadlines_.next_deadline());
    if (notice_pending_)
        next = std::min(next, next_notice_at_);
    for (probe_round const& round : probe_rounds_)
        next = std::min(next, round.next_deadline());
    return next;
}

void membership::resume(absl::Time now)
{
    probe_rounds_.clear();
    std::vector<member_key> suspected;
    while (auto const key =
               suspicion_deadlines_.pop_due(absl::InfiniteFuture()))
        suspected.push_back(*key);
    for (member_key const& key : suspected)
        suspicion_deadlines_.set(key, now + times::suspicion_timeout);
    for (auto& [domain, probe] : remote_probes_)
        probe.answered_ = true;
    has_joined_ = false;
    join_attempts_ = 0;
    next_probe_at_ = now;
    next_exchange_at_ = now;
}

std::span<peer_candidate const>
membership::candidates(service_name const& service)
{
    auto const [entry, missing] = candidates_by_service_.try_emplace(service);
    if (!missing)
        return entry->second;
    std::vector<peer_candidate> reachable_guards;
    std::vector<peer_candidate> unreachable_guards;
    std::vector<peer_candidate> suspected_guards;
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.service_ != service)
                return;
            bool const local = member.domain_ == self_.domain_;
            bool const reached =
                local || reachability_.is_reachable(member.domain_);
            if (member.status_ == member_status::suspect)
                suspected_guards.push_back(candidate_of(member, local));
            else if (member.status_ == member_status::alive)
                (reached ? reachable_guards : unreachable_guards)
                    .push_back(candidate_of(member, local));
        });
    entry->second = !reachable_guards.empty() ? std::move(reachable_guards)
                    : !unreachable_guards.empty()
                        ? std::move(unreachable_guards)
                        : std::move(suspected_guards);
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
    for (auto const& [domain, digest] : table_.domain_digests())
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
    return ranking.highest_ranked(count);
}

bool membership::owns_duty(std::string_view duty) const
{
    std::vector<endpoint> const owners = duty_owners(duty, owners_per_duty);
    return std::ranges::find(owners, self_.endpoint_) != owners.end();
}

std::optional<endpoint>
membership::newer_revision_reporter(revision current) const
{
    return highest_revision_.reporter_above(current);
}

void membership::forget_revision_reporter(endpoint holder)
{
    highest_revision_.forget_reporter(holder);
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

bool membership::is_domain_reachable(domain_name const& domain) const
{
    return domain == self_.domain_ || reachability_.is_reachable(domain);
}

std::uint64_t membership::ignored_members() const
{
    return table_.ignored_members();
}

void membership::merge_record(
    member_record const& record, bool disseminate, absl::Time now)
{
    if (record.daemon_ == self_.daemon_ &&
        record.incarnation_ >= self_.incarnation_)
    {
        refute_suspicion(record, now);
        return;
    }
    if (departures_.add(record, disseminate, now) && disseminate)
        update_queue_.add(record);
    if (record.daemon_ == self_.daemon_)
        return;
    member_record const* const current = table_.find(record.daemon_);
    service_name const old_service =
        current != nullptr ? current->service_ : service_name();
    bool const was_suspect =
        current != nullptr && current->status_ == member_status::suspect;
    merge_outcome const outcome = table_.merge(record, now);
    if (outcome == merge_outcome::ignored)
        return;
    candidates_by_service_.erase(old_service);
    candidates_by_service_.erase(record.service_);
    member_record const& merged = *table_.find(record.daemon_);
    if (outcome == merge_outcome::changed)
        on_record_changed(merged, was_suspect, now);
    if (!disseminate)
        return;
    if (outcome == merge_outcome::changed)
        update_queue_.add(merged);
    else if (merged.domain_ == self_.domain_)
        update_queue_.add_refresh(merged, local_members().size());
}

/// Refutes a suspicion: if `record` describes this incarnation of this daemon
/// and supersedes the record that this daemon keeps of itself, raises the
/// sequence of the kept record above that of `record`. Such a record comes from
/// a daemon that suspects this one.
void membership::refute_suspicion(member_record const& record, absl::Time now)
{
    member_record const own = self_record();
    bool const needed = record.incarnation_ == own.incarnation_ &&
                        own.status_ != member_status::gone &&
                        supersedes(record, own);
    if (!needed)
        return;
    set_self_record(
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

void membership::set_self_record(member_record const& record, absl::Time now)
{
    table_.set_record(record, now);
    candidates_by_service_.clear();
    update_queue_.add(record);
    notice_pending_ = true;
}

void membership::on_record_changed(
    member_record const& record, bool was_suspect, absl::Time now)
{
    if (record.domain_ != self_.domain_)
        return;
    local_members_stale_ = true;
    notice_pending_ = notice_pending_ || was_suspect ||
                      record.status_ != member_status::alive;
    if (record.status_ == member_status::suspect)
        suspicion_deadlines_.set(
            key_of(record), now + times::suspicion_timeout);
    else
        suspicion_deadlines_.erase(key_of(record));
}

void membership::on_message_from(peer_identity const& from, messages& out)
{
    member_record const* const member = table_.find(from.daemon_);
    if (member == nullptr)
        return;
    if (member->status_ == member_status::leaving)
        suspicion_deadlines_.erase({from.daemon_, from.incarnation_});
    if (member->domain_ == self_.domain_)
        return;
    if (reachability_.record_probe(member->domain_, true))
    {
        // The domain is reachable again. Its member list is requested, because
        // the members of both domains may have changed in the meantime.
        candidates_by_service_.clear();
        out.push_back({from.endpoint_, list_request()});
    }
}

/// Sends suspected members their records, so that they learn of the suspicion
/// and can refute it although datagrams are lost. About three members of the
/// domain notify each suspected member in each second.
void membership::notify_suspects(messages& out)
{
    std::vector<endpoint> suspects;
    std::size_t const members = local_members().size();
    for (daemon_id const& id : local_members())
    {
        member_record const* const member = table_.find(id);
        if (member->status_ == member_status::suspect &&
            random_() % members < times::notice_fanout)
            suspects.push_back(member->endpoint_);
    }
    for (endpoint const& to : suspects)
        out.push_back({to, ack_for(to, 0)});
}

/// Marks an alive member as suspect and notifies the member, so that the member
/// can refute the suspicion. For a leaving member, only starts the suspicion
/// timeout.
void membership::start_suspicion(
    member_key const& key, messages& out, absl::Time now)
{
    member_record const* const member = table_.find(key.daemon_);
    if (member == nullptr || member->incarnation_ != key.incarnation_)
        return;
    if (member->status_ == member_status::alive)
    {
        endpoint const address = member->endpoint_;
        merge_record(with_status(*member, member_status::suspect), true, now);
        out.push_back({address, ack_for(address, 0)});
    }
    else if (member->status_ == member_status::leaving)
        suspicion_deadlines_.set(key, now + times::suspicion_timeout);
}

void membership::declare_gone_unless_alive(
    member_key const& key, absl::Time now)
{
    member_record const* const member = table_.find(key.daemon_);
    bool const same =
        member != nullptr && member->incarnation_ == key.incarnation_;
    if (same && member->status_ != member_status::alive)
        merge_record(with_status(*member, member_status::gone), true, now);
}

void membership::probe_member(
    member_record const& member, messages& out, absl::Time now)
{
    membership_ping const ping = ping_for(member.endpoint_);
    probe_rounds_.emplace_back(key_of(member), ping.sequence_, now);
    out.push_back({member.endpoint_, ping});
}

void membership::advance_probe_rounds(messages& out, absl::Time now)
{
    for (probe_round& round : probe_rounds_)
    {
        if (round.try_start_indirect(now))
            probe_indirectly(round, out);
    }
    std::vector<member_key> unanswered;
    std::erase_if(
        probe_rounds_,
        [&](probe_round const& round)
        {
            if (round.has_ended(now))
                unanswered.push_back(round.target());
            return round.has_ended(now);
        });
    for (member_key const& key : unanswered)
        start_suspicion(key, out, now);
}

void membership::probe_next_member(messages& out, absl::Time now)
{
    auto const next =
        probe_order_.next(random_, [&] { return local_members(); });
    member_record const* const member = next ? table_.find(*next) : nullptr;
    if (member != nullptr && member->status_ != member_status::gone)
    {
        probe_member(*member, out, now);
        return;
    }
    // No member can be probed. A seed is pinged, because the domain may have
    // members that only the seed knows.
    for (endpoint const& seed : random_peers(1))
        out.push_back({seed, ping_for(seed)});
}

void membership::probe_indirectly(probe_round const& round, messages& out)
{
    member_record const* const target = table_.find(round.target().daemon_);
    if (target == nullptr)
        return;
    std::vector<domain_reachability> reachability;
    std::vector<member_record> updates =
        updates_for(target->endpoint_, reachability);
    out.push_back(
        {target->endpoint_,
         membership_ping{
             round.sequence(),
             policy_revision_,
             std::move(updates),
             std::move(reachability)}});
    std::size_t asked = 0;
    for (endpoint const& peer : random_peers(times::indirect_probe_count + 1))
    {
        if (peer == target->endpoint_ || asked == times::indirect_probe_count)
            continue;
        out.push_back(
            {peer, indirect_ping{round.sequence(), target->endpoint_}});
        ++asked;
    }
}

/// Probes one member of each other domain. The probe and its answer also
/// contain the policy revisions of both sides, so that a new revision becomes
/// known while the platform is unavailable.
void membership::probe_remote_domains(messages& out)
{
    for (domain_name const& domain : domains())
    {
        if (domain == self_.domain_)
            continue;
        remote_probe& probe = remote_probes_[domain];
        if (!probe.answered_ && reachability_.record_probe(domain, false))
            candidates_by_service_.clear();
        auto const target = random_remote_member(domain);
        if (!target)
            continue;
        probe = {++last_ping_sequence_, false};
        out.push_back(
            {*target,
             membership_ping{
                 probe.sequence_, policy_revision_, {self_record()}, {}}});
    }
}

void membership::exchange_lists(messages& out, absl::Time now)
{
    if (now >= next_exchange_at_)
    {
        next_exchange_at_ =
            now +
            std::min(
                absl::Seconds(1u << std::min(join_attempts_, 5u)),
                has_joined_ ? times::exchange_interval : times::max_join_wait);
        ++join_attempts_;
        bool const seed_selected = random_() % (local_members().size() + 8) <
                                   times::seed_exchange_weight;
        bool const seed = !seeds_.empty() && (!has_joined_ || seed_selected);
        endpoint const partner =
            seed ? seeds_[random_() % seeds_.size()] : endpoint();
        if (seed && partner != self_.endpoint_)
            out.push_back({partner, list_request()});
        else
            for (endpoint const& peer : random_peers(1))
                out.push_back({peer, list_request()});
    }
    if (now < next_remote_exchange_at_ || !owns_duty(watch_duty))
        return;
    next_remote_exchange_at_ = now + times::remote_exchange_interval;
    std::vector<domain_name> others = domains();
    std::erase(others, self_.domain_);
    std::erase_if(
        others,
        [&](auto const& domain) { return !is_domain_reachable(domain); });
    if (others.empty())
        return;
    if (auto const peer =
            random_remote_member(others[random_() % others.size()]))
        out.push_back({*peer, list_request()});
}

void membership::send_notices(messages& out, absl::Time now)
{
    if (!notice_pending_ || now < next_notice_at_)
        return;
    notice_pending_ = false;
    next_notice_at_ = now + times::notice_interval;
    for (endpoint const& peer : random_peers(times::notice_fanout))
        out.push_back({peer, ack_for(peer, 0)});
}

member_list_request membership::list_request() const
{
    std::vector<domain_digest> known;
    for (auto const& [domain, digest] : table_.domain_digests())
        known.push_back({domain, digest});
    return {std::move(known)};
}

membership_ping membership::ping_for(endpoint target)
{
    std::vector<domain_reachability> reachability;
    std::vector<member_record> updates = updates_for(target, reachability);
    return {
        ++last_ping_sequence_,
        policy_revision_,
        std::move(updates),
        std::move(reachability)};
}

membership_ack membership::ack_for(endpoint target, std::uint64_t sequence)
{
    std::vector<domain_reachability> reachability;
    std::vector<member_record> updates = updates_for(target, reachability);
    return {
        sequence,
        policy_revision_,
        std::move(updates),
        std::move(reachability)};
}

/// Returns the member records to send to `target`: the record of this daemon,
/// the record of `target` if `target` is suspected, and queued changes, as many
/// as fit into one datagram. If `target` is in the domain of this daemon, also
/// appends the reachability of other domains to `reachability`.
std::vector<member_record> membership::updates_for(
    endpoint target, std::vector<domain_reachability>& reachability)
{
    datagram_budget budget(self_);
    std::vector<member_record> result;
    budget.try_reserve(self_record());
    result.push_back(self_record());
    member_record const* const receiver = table_.find_by_address(target);
    bool const local =
        receiver != nullptr && receiver->domain_ == self_.domain_;
    if (receiver != nullptr && receiver->status_ == member_status::suspect &&
        budget.try_reserve(*receiver))
        result.push_back(*receiver);
    for (domain_reachability const& report :
         reachability_.changed_reachability())
    {
        if (local && budget.try_reserve(report))
            reachability.push_back(report);
    }
    std::vector<member_record> queued =
        update_queue_.take_records(budget, local_members().size());
    for (member_record& record : queued)
        result.push_back(std::move(record));
    return result;
}

std::vector<daemon_id> const& membership::local_members() const
{
    if (!std::exchange(local_members_stale_, false))
        return local_members_;
    local_members_.clear();
    table_.for_each(
        [&](member_record const& member)
        {
            if (member.domain_ == self_.domain_ &&
                member.daemon_ != self_.daemon_ &&
                member.status_ != member_status::gone)
                local_members_.push_back(member.daemon_);
        });
    return local_members_;
}

std::optional<endpoint>
membership::random_remote_member(domain_name const& domain)
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
