#pragma once

#include "base/deadline_queue.hpp"
#include "base/random_source.hpp"
#include "core/daemon_identity.hpp"
#include "membership/departure_table.hpp"
#include "membership/domain_reach.hpp"
#include "membership/member_record.hpp"
#include "membership/member_table.hpp"
#include "membership/probe_order.hpp"
#include "membership/probe_round.hpp"
#include "membership/relayed_probes.hpp"
#include "membership/revision_sightings.hpp"
#include "membership/update_queue.hpp"
#include "membership/upstream_announcement.hpp"
#include "messages/outgoing_message.hpp"
#include "messages/peer_identity.hpp"
#include "routing/peer_candidate.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <list>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace samphire
{

/// What this daemon knows of the others. Inside a failure domain daemons probe
/// each other and piggyback changes; records of other domains arrive by
/// summaries and by exchanges of the watchers. Messages that it returns go out
/// as datagrams, member_list_request and member_list_reply over TCP.
class membership
{
public:
    /// Duty of probing other domains and reading their summaries.
    static constexpr std::string_view watch_duty = "summary-watch";
    static constexpr std::size_t duty_holders = 2;

    membership(
        daemon_identity self,
        std::vector<endpoint> seeds,
        random_source random);

    /// The own upstream announced itself, or changed.
    void announce(upstream_announcement const& announcement, absl::Time now);
    /// The own upstream fell silent.
    void withdraw(absl::Time now);
    void set_epoch(ticket_epoch epoch, absl::Time now);
    /// Epoch that a guard reported in a reply.
    void
    learn_epoch(peer_identity const& guard, ticket_epoch epoch, absl::Time now);
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
    std::vector<outgoing_message> on_list_request(
        peer_identity const& from,
        member_list_request const& request,
        absl::Time now);
    void on_list_reply(
        peer_identity const& from,
        member_list_reply const& reply,
        absl::Time now);
    /// Takes changed records and passes them on in the own domain.
    void merge(std::span<member_record const> records, absl::Time now);
    /// Takes a complete list of another domain's members that is newer than
    /// the last one: long-known members that it lacks are gone.
    void merge_complete(
        domain_name const& domain,
        std::span<member_record const> records,
        absl::Time now);
    /// The connection to a member was lost: it is probed at once.
    std::vector<outgoing_message>
    on_unreachable(endpoint address, absl::Time now);
    std::vector<outgoing_message> tick(absl::Time now);
    absl::Time next_deadline() const;
    /// After a pause of this process: probes and suspicions from before it are
    /// void, and the members are read again.
    void resume(absl::Time now);

    /// Guards of the service that take new work. Guards in domains that cannot
    /// be reached, and suspected ones, only when there is no other.
    std::span<peer_candidate const> candidates(service_name const& service);
    std::vector<member_record> records() const;
    std::vector<member_record> records_of(domain_name const& domain) const;
    /// Failure domains of all known members.
    std::vector<domain_name> domains() const;
    member_record self_record() const;
    /// Holder of the records of a guard that stopped gracefully.
    std::optional<endpoint>
    successor_of(daemon_id const& daemon, incarnation number) const;
    /// Members of the own domain that own the named duty, by rendezvous
    /// hashing; may differ between daemons, so a duty must tolerate doubling.
    std::vector<endpoint>
    duty_owners(std::string_view duty, std::size_t count) const;
    /// Whether this daemon is one of the holders of the duty.
    bool owns_duty(std::string_view duty) const;
    /// A member that reported a policy revision above `held`.
    std::optional<endpoint> newer_revision_holder(revision held) const;
    /// The holder did not give the document.
    void forget_revision_holder(endpoint holder);
    /// Random members of the own domain, or seeds while none is known.
    std::vector<endpoint> random_peers(std::size_t count);
    bool reachable(domain_name const& domain) const;
    /// New members that were ignored because the table was full.
    std::uint64_t ignored_members() const;

private:
    struct remote_probe
    {
        std::uint64_t sequence_{};
        bool answered_{true};
    };

    using messages = std::vector<outgoing_message>;

    void merge_one(member_record const& record, bool pass_on, absl::Time now);
    void refute(member_record const& record, absl::Time now);
    void set_self(member_record const& record, absl::Time now);
    void changed(member_record const& record, bool was_suspect, absl::Time now);
    void warn_suspects(messages& out);
    void heard_from(peer_identity const& from, messages& out);
    void suspect(member_key const& key, messages& out, absl::Time now);
    void end_suspicion(member_key const& key, absl::Time now);
    void probe(member_record const& member, messages& out, absl::Time now);
    void probe_next(messages& out, absl::Time now);
    void probe_indirectly(probe_round const& round, messages& out);
    void end_rounds(messages& out, absl::Time now);
    void probe_domains(messages& out);
    void exchange_lists(messages& out, absl::Time now);
    void tell_news(messages& out, absl::Time now);
    member_list_request list_request() const;
    membership_ping ping_for(endpoint target);
    membership_ack ack_for(endpoint target, std::uint64_t sequence);
    std::vector<member_record>
    updates_for(endpoint target, std::vector<domain_reachability>& reach);
    std::vector<daemon_id> const& local_members() const;
    std::optional<endpoint> random_remote(domain_name const& domain);

    daemon_identity const self_;
    std::vector<endpoint> const seeds_;
    random_source random_;
    member_table table_;
    departure_table departures_;
    update_queue queue_;
    probe_order order_;
    std::list<probe_round> rounds_;
    relayed_probes relays_;
    domain_reach reach_;
    deadline_queue<member_key> suspicions_;
    revision_sightings sightings_;
    std::map<domain_name, remote_probe> remote_probes_;
    absl::flat_hash_map<service_name, std::vector<peer_candidate>> candidates_;
    /// Present members of the own domain without this daemon.
    std::vector<daemon_id> mutable local_;
    bool mutable local_stale_{true};
    revision revision_{};
    bool news_{};
    bool joined_{};
    unsigned join_attempts_{};
    std::uint64_t sequence_{};
    absl::Time next_notice_{absl::InfinitePast()};
    absl::Time next_probe_{absl::InfinitePast()};
    absl::Time next_exchange_{absl::InfinitePast()};
    absl::Time next_remote_exchange_{absl::InfinitePast()};
};

} // namespace samphire
