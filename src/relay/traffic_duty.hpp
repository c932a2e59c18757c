#pragma once

#include "base/monotonic_clock.hpp"
#include "base/random_source.hpp"
#include "forwarding/crash_register.hpp"
#include "forwarding/health_report.hpp"
#include "forwarding/least_wait_placement.hpp"
#include "forwarding/order_intake.hpp"
#include "forwarding/policy_exchange.hpp"
#include "forwarding/record_source.hpp"
#include "forwarding/request_entry.hpp"
#include "forwarding/upstream_directory.hpp"
#include "forwarding/upstream_guard.hpp"
#include "forwarding/upstream_lifecycle.hpp"
#include "metrics/metric_registry.hpp"
#include "relay/control_frontend.hpp"
#include "relay/health_probe.hpp"
#include "relay/http_frontend.hpp"
#include "relay/io_loop.hpp"
#include "relay/peer_mesh.hpp"
#include "relay/relay_events.hpp"
#include "relay/relay_log.hpp"
#include "relay/relay_metrics.hpp"
#include "relay/stop_progress.hpp"
#include "relay/store_gateway.hpp"
#include "relay/traffic_identity.hpp"
#include "relay/traffic_limits.hpp"
#include "relay/upstream_pool.hpp"
#include "store/defect_register.hpp"
#include "store/departed_sweep.hpp"
#include "store/entry_check.hpp"
#include "store/object_name.hpp"
#include "store/pending_store_call.hpp"
#include "store/store_session.hpp"
#include "store/watch_election.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Duty "traffic": owns the sockets of clients, of the upstream and of other
/// daemons. The objects of forwarding/ and store/ make the decisions; this
/// class only connects them to the sockets and to each other.
template <class Platform>
class traffic_duty
{
public:
    traffic_duty(
        traffic_identity identity,
        traffic_limits limits,
        std::vector<endpoint> seeds,
        relay_codec codec,
        std::uint64_t seed,
        monotonic_clock const& clock,
        store_gateway<typename Platform::object_store>& store,
        relay_events& events,
        log_writer& log);

    /// Runs until a requested stop is complete.
    void run();

    // The client frontend calls the following functions.
    void on_frontend_request(
        client_token token,
        boost::beast::http::request<boost::beast::http::string_body>& message,
        absl::Time received);
    void on_frontend_disconnect(client_token token);
    void on_frontend_request_abandoned(
        boost::beast::http::request<boost::beast::http::string_body>& message);

    // The upstream pool and the control frontends call the following functions.
    void on_upstream_answer(execution_key key, upstream_answer const& answer);
    void on_upstream_failure(
        execution_key key, std::uint64_t fingerprint, upstream_failure failure);
    void on_upstream_probe_result(bool reached);
    void on_health_check_ended(health_report const& report);
    bool is_ready() const;
    /// Returns why the heartbeat was not applied and must not be acknowledged;
    /// empty if it was.
    std::string on_heartbeat(upstream_heartbeat const& heartbeat);
    void on_invalid_heartbeat(upstream_id const& id, std::string const& defect);
    void on_upstream_removal(upstream_id const& id);

    // The peer mesh calls the following functions.
    daemon_hello own_hello() const;
    daemon_beacon own_beacon() const;
    void on_hello(daemon_hello const& hello, bool dialled);
    void on_peer_message(endpoint daemon, relay_message& message);
    void on_peer_disconnected(endpoint daemon);
    void on_entry_disconnected(std::uint64_t incarnation);

    // The guard, which decides on requests for the local upstream, calls the
    // following functions.
    void start(
        execute_order const& order,
        upstream_record const& upstream,
        absl::Duration remaining_time);
    bool withdraw(execution_key key);
    void abort(execution_key key);
    bool reply(execute_result const& result);
    void on_upstream_leaving();
    void probe_upstream();

    // The entry, which decides on requests of clients, calls the following
    // functions.
    bool send(endpoint daemon, relay_message message);
    void ping(endpoint daemon);
    void answer(client_token token, client_answer const& answer);
    std::optional<running_parent>
    find_running_execution(attempt_id const& attempt) const;
    void on_call_ended(
        execution_key parent,
        std::vector<service_pressure> const& pressures,
        bool failed);

    // The store session calls the following functions.
    void
    submit(std::uint64_t store_call_number, store_operation const& operation);
    void on_policy(std::shared_ptr<forwarding_policy const> const& policy);
    void on_upstreams(std::vector<stored_upstream> const& upstreams);
    void on_store_reachable(bool reachable);
    void on_store_restored(std::uint64_t era);

    /// Logs and counts a decision of the guard or the entry.
    void record_decision(decision_record const& record);

private:
    using codec = typename Platform::requests;

    /// Maximum time after the start for which new upstreams wait for the record
    /// that the store or a peer has from an earlier process of this daemon.
    static constexpr absl::Duration max_recovery_duration =
        absl::Milliseconds(1500);
    /// Number of successive rounds with an unexpected error after which the
    /// process gives up.
    static constexpr int max_failed_rounds = 100;
    static constexpr absl::Duration tick_interval = absl::Milliseconds(25);
    static constexpr absl::Duration slow_tick_interval =
        absl::Milliseconds(250);
    /// Time after the start in which links to the other daemons are
    /// established. Until then no daemon watches the policy, since each would.
    static constexpr absl::Duration election_delay = absl::Milliseconds(1500);
    /// A daemon that has no object in the store is removed after it was
    /// unreachable for this long.
    static constexpr absl::Duration daemon_removal_delay = absl::Seconds(30);

    /// Waits for events once and handles them. An error ends only what was
    /// being handled.
    void run_round();
    void on_unexpected_error(std::exception const& error);
    void process_events(absl::Time now);
    /// Delivers the messages to this daemon itself, and then the orders of this
    /// round to the guard.
    void deliver_own_messages(absl::Time now);
    void tick(absl::Time now);
    void slow_tick(absl::Time now);
    void on_upstream_changed(record_source source, absl::Time now);
    void on_upstream_down(absl::Time now);
    /// Logs, once for each process, heartbeats that may be late ones.
    void report_unconfirmed_upstream();
    /// Starts a health check that is due, once the policy names its path.
    void start_due_health_check(absl::Time now);
    /// `source`: "store", or the address of the daemon that sent the policy.
    void apply_policy(
        std::shared_ptr<forwarding_policy const> const& policy,
        std::string const& source);
    void send_policy(endpoint daemon, std::uint64_t known_version);
    bool is_in_own_domain(endpoint daemon) const;
    /// Whether the daemon is known to be in another failure domain.
    bool is_in_other_domain(endpoint daemon) const;
    /// Decides whether this daemon watches the policy in the store.
    void elect_watcher(absl::Time now);
    /// Tells the daemons that may be in the own failure domain whether this one
    /// reaches the store.
    void send_store_access_notices();
    /// Notes the end of a call to the store; logs and counts a failed one.
    void on_store_call_ended(store_call_completed const& call, absl::Time now);
    /// Logs and counts the objects in the store that were skipped, each
    /// revision of an object once.
    void report_defects(std::vector<object_defect> const& defects);
    void remove_departed_object(
        std::vector<stored_upstream> const& objects, absl::Time now);
    void begin_stop(absl::Time now);
    /// Returns the number of requests and executions in progress, and while the
    /// daemon stops also that of connections with an unsent answer.
    std::size_t unfinished_work() const;
    absl::Duration loop_timeout(absl::Time now) const;
    void
    log(std::string_view level,
        std::string_view event,
        std::string const& fields);

    traffic_identity identity_;
    traffic_limits const limits_;
    monotonic_clock const& clock_;
    store_gateway<typename Platform::object_store>& store_;
    relay_events& events_;
    metric_registry metrics_;
    relay_metrics decision_metrics_;
    relay_log log_;
    random_source random_;
    io_loop loop_;
    std::uint64_t last_token_{};
    upstream_directory directory_;
    crash_register crashes_;
    upstream_lifecycle lifecycle_;
    order_intake order_intake_;
    upstream_guard<traffic_duty> guard_;
    request_entry<traffic_duty, least_wait_placement> entry_;
    store_session<traffic_duty> store_session_;
    policy_exchange policy_exchange_;
    stop_progress stop_progress_;
    upstream_pool<codec, traffic_duty> pool_;
    health_probe<typename Platform::health, traffic_duty> health_probe_;
    peer_mesh<traffic_duty> mesh_;
    http_frontend<traffic_duty> client_frontend_;
    control_frontend<typename Platform::heartbeats, traffic_duty>
        readiness_frontend_;
    control_frontend<typename Platform::heartbeats, traffic_duty>
        control_frontend_;
    std::unique_ptr<
        control_frontend<typename Platform::heartbeats, traffic_duty>>
        metrics_frontend_;
    defect_register reported_defects_;
    std::optional<upstream_process> reported_unconfirmed_upstream_;
    /// Messages that this daemon sends to itself; delivered after the event
    /// that is being handled.
    std::deque<relay_message> own_messages_;
    absl::flat_hash_set<endpoint> stored_daemons_;
    /// Calls to the store in progress, by number.
    absl::flat_hash_map<std::uint64_t, pending_store_call> store_calls_;
    /// Time at which the store last answered a call that reads or watches the
    /// policy.
    absl::Time policy_confirmed_at_{absl::InfinitePast()};
    absl::Time started_at_;
    absl::Time next_slow_tick_{absl::InfinitePast()};
    int failed_rounds_{};
    bool store_reachable_{true};
    bool received_peer_hello_{};
};

} // namespace samphire

#include "relay/traffic_duty.ipp"
#include "relay/traffic_duty_peers.ipp"
#include "relay/traffic_duty_store.ipp"
