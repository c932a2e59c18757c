#pragma once

#include "base/deadline_queue.hpp"
#include "base/random_source.hpp"
#include "forwarding/crash_register.hpp"
#include "forwarding/entry_admission.hpp"
#include "forwarding/entry_limits.hpp"
#include "forwarding/entry_request.hpp"
#include "forwarding/entry_sink.hpp"
#include "forwarding/placement_policy.hpp"
#include "forwarding/retry_allowance.hpp"
#include "forwarding/upstream_directory.hpp"
#include "forwarding/weighted_round_robin.hpp"
#include "forwarding/work_horizon.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// Handles the requests of clients and of the local upstream: finds the route,
/// chooses a guard, retries requests where that is allowed, and gives each
/// request exactly one answer, which states truthfully whether the request may
/// have run.
template <class Sink, placement_policy Placement>
class request_entry
{
public:
    request_entry(
        entry_limits limits,
        std::uint64_t incarnation,
        service_name caller_service,
        std::string zone,
        upstream_directory& directory,
        retry_allowance allowance,
        crash_register& crashes,
        Placement placement,
        random_source& random,
        Sink& sink)
        : limits_(limits), incarnation_(incarnation),
          caller_service_(std::move(caller_service)), zone_(std::move(zone)),
          directory_(directory), allowance_(std::move(allowance)),
          crashes_(crashes), placement_(std::move(placement)), random_(random),
          sink_(sink)
    {
        // The concept is checked here because `Sink` is still an incomplete
        // type where it declares its request_entry member.
        static_assert(entry_sink<Sink>);
    }

    /// Applies the operators' policy in `routes`. Returns false, without
    /// applying that policy, when the policy in use has the same or a newer
    /// version.
    bool apply_routes(std::shared_ptr<route_index const> routes);

    void set_retry_burst(double burst)
    {
        allowance_.set_max_burst_retries(burst);
    }

    /// Returns the routes of the operators' policy in use; null before the
    /// first policy is applied.
    std::shared_ptr<route_index const> const& routes() const
    {
        return routes_;
    }

    std::uint64_t policy_version() const
    {
        return routes_ ? routes_->policy().version_ : 0;
    }

    void set_caller_service(service_name service)
    {
        caller_service_ = std::move(service);
    }

    /// Makes the entry take only requests that can end by `work_end`, and ends
    /// those that it takes by then.
    void stop_by(absl::Time work_end)
    {
        horizon_.set(work_end);
    }

    /// Gives each request that is still in progress an answer, since the
    /// process is about to end.
    void end_all(absl::Time now);

    void on_request(client_request request, absl::Time now);
    void on_client_gone(client_token token, absl::Time now);
    void on_result(endpoint from, execute_result const& result, absl::Time now);
    /// Called when a connection to the daemon was established; `incarnation`
    /// identifies the process of that daemon.
    void on_peer_connected(
        endpoint daemon, std::uint64_t incarnation, absl::Time now);
    void on_peer_lost(endpoint daemon, absl::Time now);
    void tick(absl::Time now);

    absl::Time next_deadline() const
    {
        return std::min(
            {deadlines_.next_deadline(), ping_due_, park_retry_due_});
    }

    /// Returns the number of requests that have not been answered yet.
    std::size_t requests_in_progress() const
    {
        return requests_.size();
    }

private:
    using request_map =
        absl::flat_hash_map<client_token, std::unique_ptr<entry_request>>;

    bool needs_unreachable_service(
        entry_request const& request, absl::Time now) const;
    void ping_silent_guards(absl::Time now);
    void reroute_from_silent_guard(endpoint daemon, absl::Time now);
    bool place_request(entry_request& request, absl::Time now);
    bool try_park(entry_request& request, absl::Time now);
    void place_parked_calls(absl::Time now);
    /// Claims one retry of the request from the retry allowance. Returns false
    /// when the request may not be retried.
    bool claim_retry(entry_request& request, absl::Time now);
    void clear_in_flight(entry_request& request);
    void on_unknown_outcome(
        entry_request& request, verdict_reason reason, absl::Time now);
    void on_not_run(
        entry_request& request, execute_result const& result, absl::Time now);
    void refuse_request(
        entry_request& request,
        verdict_reason reason,
        absl::Duration retry_after,
        absl::Time now);
    void fail_request(
        entry_request& request,
        std::uint16_t status,
        verdict_reason reason,
        absl::Time now);
    void finish_request(
        entry_request& request, client_answer const& answer, absl::Time now);
    void refuse_on_arrival(
        client_request const& request,
        std::uint16_t status,
        verdict_reason reason);

    entry_limits const limits_;
    std::uint64_t const incarnation_;
    service_name caller_service_;
    std::string const zone_;
    upstream_directory& directory_;
    retry_allowance allowance_;
    crash_register& crashes_;
    Placement placement_;
    random_source& random_;
    Sink& sink_;
    std::shared_ptr<route_index const> routes_;
    weighted_round_robin round_robin_;
    entry_admission admission_;
    request_map requests_;
    /// Tokens of the requests in flight, by the exchange number of their
    /// execution key.
    absl::flat_hash_map<std::uint64_t, client_token> tokens_by_exchange_;
    deadline_queue<client_token> deadlines_;
    std::uint64_t last_exchange_{};
    absl::Time ping_due_{absl::InfiniteFuture()};
    /// Tokens of calls that wait for an upstream to become available.
    std::vector<client_token> parked_calls_;
    absl::Time park_retry_due_{absl::InfiniteFuture()};
    work_horizon horizon_;
};

} // namespace samphire

#include "forwarding/request_entry.ipp"
#include "forwarding/request_entry_peers.ipp"
