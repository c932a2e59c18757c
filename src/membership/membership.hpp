#pragma once

#include "base/deadline_queue.hpp"
#include "base/random_source.hpp"
#include "core/daemon_identity.hpp"
#include "membership/departure_table.hpp"
#include "membership/highest_reported_revision.hpp"
#include "membership/member_record.hpp"
#include "membership/member_table.hpp"
#include "membership/probe_order.hpp"
#include "membership/probe_round.hpp"
#include "membership/reachability_table.hpp"
#include "membership/relayed_probes.hpp"
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

/// Implements the membership protocol: maintains the records of all daemons
/// that this daemon knows. The daemons of a failure domain probe each other and
/// piggyback changed records on the probes; records of other domains arrive in
/// summaries and in exchanges by the owners of the watch duty. Returned
/// messages are sent as datagrams, except member_list_request and
/// member_list_reply, which are sent over TCP.
class membership
{
public:
    /// Duty to probe other domains and to read their summaries.
    static constexpr std::string_view watch_duty = "summary-watch";
    static constexpr std::size_t owners_per_duty = 2;

    membership(
        daemon_identity self,
        std::vector<endpoint> seeds,
        random_source random);

    /// Updates the record of this daemon when the local upstream announced
    /// itself or changed.
    void
    update_upstream(upstream_announcement const& announcement, absl::Time now);
    /// Removes the local upstream from the record of this daemon when the
    /// upstream no longer announces itself.
    void clear_upstream(absl::Time now);
    /// Updates the record of this daemon with a higher ticket epoch.
    void set_epoch(ticket_epoch epoch, absl::Time now);
    /// Updates the record of a guard with the ticket epoch that the guard
    /// reported in a reply.
    void update_guard_epoch(
        peer_identity const& guard, ticket_epoch epoch, absl::Time now);
    /// Sets the policy revision in force, which is reported to other members.
    void set_policy_revision(revision in_force);
    /// Returns messages that notify all members of the domain that this daemon
    /// takes no new work.
    std::vector<outgoing_message> announce_leaving(absl::Time now);
    /// Returns messages that report this daemon as gone to all members of its
    /// domain and to some members of each other domain. `successor` is the
    /// daemon that holds the execution records of this daemon.
    std::vector<outgoing_message>
    announce_departure(endpoint successor, absl::Time now);

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
    /// Merges changed records and disseminates them in the domain of this
    /// daemon.
    void merge(std::span<member_record const> records, absl::Time now);
    /// Merges a complete list of the members of another domain. The list must
    /// be newer than the previous list that was merged. Members that are
    /// missing from the list are set to gone unless their records changed
    /// recently.
    void merge_complete_list(
        domain_name const& domain,
        std::span<member_record const> records,
        absl::Time now);
    /// Probes a member of this domain to which a connection was lost, with a
    /// probability that bounds how many members of the domain probe the same
    /// member.
    std::vector<outgoing_message>
    on_peer_unreachable(endpoint address, absl::Time now);
    std::vector<outgoing_message> tick(absl::Time now);
    absl::Time next_deadline() const;
    /// Handles a pause of this process: drops the probes and restarts the
    /// suspicion timers from before the pause, and requests member lists again.
    void resume(absl::Time now);

    /// Returns the alive guards of the service in reachable domains. When there
    /// is none, returns the alive guards in unreachable domains; when there is
    /// none either, returns the suspected guards.
    std::span<peer_candidate const> candidates(service_name const& service);
    std::vector<member_record> records() const;
    std::vector<member_record> records_of(domain_name const& domain) const;
    /// Returns the failure domains of all known members.
    std::vector<domain_name> domains() const;
    member_record self_record() const;
    /// Returns the address of the daemon that holds the execution records of a
    /// guard that stopped gracefully; nullopt when no successor is known.
    std::optional<endpoint>
    successor_of(daemon_id const& daemon, incarnation number) const;
    /// Chooses up to `count` alive members of the domain of this daemon as
    /// owners of the duty, by rendezvous hashing, and returns their addresses.
    /// Daemons that know different members may choose different owners, so a
    /// duty must tolerate additional owners.
    std::vector<endpoint>
    duty_owners(std::string_view duty, std::size_t count) const;
    /// Returns true when duty_owners(), called with `owners_per_duty`, chooses
    /// this daemon as an owner of the duty.
    bool owns_duty(std::string_view duty) const;
    /// Returns the address of a member that reported a policy revision above
    /// `current`; nullopt when no member did.
    std::optional<endpoint> newer_revision_reporter(revision current) const;
    /// Drops the member that reported the highest policy revision, because this
    /// member did not send the policy document.
    void forget_revision_reporter(endpoint holder);
    /// Returns the addresses of up to `count` random members of the domain of
    /// this daemon, or of seeds while no member is known.
    std::vector<endpoint> random_peers(std::size_t count);
    /// Returns true for the domain of this daemon and for other domains that
    /// are not known to be unreachable.
    bool is_domain_reachable(domain_name const& domain) const;
    /// Returns the number of new members that were ignored because the table
    /// was full.
    std::uint64_t ignored_members() const;

private:
    struct remote_probe
    {
        std::uint64_t sequence_{};
        bool answered_{true};
    };

    using messages = std::vector<outgoing_message>;

    void
    merge_record(member_record const& record, bool disseminate, absl::Time now);
    void refute_suspicion(member_record const& record, absl::Time now);
    void set_self_record(member_record const& record, absl::Time now);
    void on_record_changed(
        member_record const& record, bool was_suspect, absl::Time now);
    void notify_suspects(messages& out);
    void on_message_from(peer_identity const& from, messages& out);
    void start_suspicion(member_key const& key, messages& out, absl::Time now);
    void declare_gone_unless_alive(member_key const& key, absl::Time now);
    void
    probe_member(member_record const& member, messages& out, absl::Time now);
    void probe_next_member(messages& out, absl::Time now);
    void probe_indirectly(probe_round const& round, messages& out);
    void advance_probe_rounds(messages& out, absl::Time now);
    void probe_remote_domains(messages& out);
    void exchange_lists(messages& out, absl::Time now);
    void send_notices(messages& out, absl::Time now);
    member_list_request list_request() const;
    membership_ping ping_for(endpoint target);
    membership_ack ack_for(endpoint target, std::uint64_t sequence);
    std::vector<member_record> updates_for(
        endpoint target, std::vector<domain_reachability>& reachability);
    std::vector<daemon_id> const& local_members() const;
    std::optional<endpoint> random_remote_member(domain_name const& domain);

    daemon_identity const self_;
    std::vector<endpoint> const seeds_;
    random_source random_;
    member_table table_;
    departure_table departures_;
    update_queue update_queue_;
    probe_order probe_order_;
    std::list<probe_round> probe_rounds_;
    relayed_probes relayed_probes_;
    reachability_table reachability_;
    deadline_queue<member_key> suspicion_deadlines_;
    highest_reported_revision highest_revision_;
    std::map<domain_name, remote_probe> remote_probes_;
    absl::flat_hash_map<service_name, std::vector<peer_candidate>>
        candidates_by_service_;
    /// Ids of the members of the domain of this daemon, without gone members
    /// and without this daemon.
    std::vector<daemon_id> mutable local_members_;
    bool mutable local_members_stale_{true};
    revision policy_revision_{};
    /// True while a change of the policy revision or of a member record is
    /// still to be sent to random members.
    bool notice_pending_{};
    bool has_joined_{};
    unsigned join_attempts_{};
    std::uint64_t last_ping_sequence_{};
    absl::Time next_notice_at_{absl::InfinitePast()};
    absl::Time next_probe_at_{absl::InfinitePast()};
    absl::Time next_exchange_at_{absl::InfinitePast()};
    absl::Time next_remote_exchange_at_{absl::InfinitePast()};
};

} // namespace samphire
