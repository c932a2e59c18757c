#pragma once

#include "base/random_source.hpp"
#include "core/daemon_identity.hpp"
#include "membership/member_record.hpp"
#include "membership/upstream_announcement.hpp"
#include "messages/outgoing_message.hpp"
#include "messages/peer_identity.hpp"
#include "routing/peer_candidate.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace samphire
{

/// What this daemon knows of the others. Inside a failure domain daemons probe
/// each other and piggyback changes; records of other domains arrive by
/// merge().
class membership
{
public:
    membership(
        daemon_identity self,
        std::vector<endpoint> seeds,
        random_source random);

    /// The own upstream announced itself, or changed.
    void announce(upstream_announcement const& announcement, absl::Time now);
    /// The own upstream fell silent.
    void withdraw(absl::Time now);
    void set_epoch(ticket_epoch epoch, absl::Time now);
    void set_revision(revision in_force);
    /// Tells all of the domain at once that no new work is taken.
    std::vector<outgoing_message> leave(absl::Time now);
    /// Last message before the process ends; the successor holds the records.
    std::vector<outgoing_message> depart(endpoint successor, absl::Time now);

    std::vector<outgoing_message> on_ping(
        peer_identity const& from, membership_ping const& ping, absl::Time now);
    std::vector<outgoing_message> on_ack(
        peer_identity const& from, membership_ack const& ack, absl::Time now);
    std::vector<outgoing_message> on_indirect_ping(
        peer_identity const& from,
        indirect_ping const& request,
        absl::Time now);
    void merge(std::span<member_record const> records, absl::Time now);
    std::vector<outgoing_message> tick(absl::Time now);
    absl::Time next_deadline() const;

    /// Guards of the service that take new work.
    std::span<peer_candidate const> candidates(service_name const& service);
    std::vector<member_record> records() const;
    member_record self_record() const;
    /// Holder of the records of a guard that stopped gracefully.
    std::optional<endpoint>
    successor_of(daemon_id const& daemon, incarnation number) const;
    /// Members of the own domain that own the named duty, by rendezvous
    /// hashing; may differ between daemons, so a duty must tolerate doubling.
    std::vector<endpoint>
    duty_owners(std::string_view duty, std::size_t count) const;
    /// A member that reported a policy revision above `held`.
    std::optional<endpoint> newer_revision_holder(revision held) const;

private:
    bool merge_one(member_record const& record);
    void set_self(member_record record);
    std::vector<member_record> updates_for_message();
    void note_revision(endpoint from, revision reported);

    daemon_identity const self_;
    std::vector<endpoint> const seeds_;
    random_source random_;
    std::map<daemon_id, member_record> members_;
    absl::flat_hash_map<service_name, std::vector<peer_candidate>> candidates_;
    revision revision_{};
    revision highest_revision_{};
    endpoint highest_holder_{};
    std::uint64_t sequence_{};
    absl::Time next_probe_{absl::InfinitePast()};
};

} // namespace samphire
