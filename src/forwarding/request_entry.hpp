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
#include "forwarding/weighted_rotation.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace samphire
{

/// Takes the requests of clients and of the own upstream: finds the route,
/// chooses a guard, sends again what may be sent again, and gives each request
/// one true answer.
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
        // The sink is complete here, but not yet where it holds the entry.
        static_assert(entry_sink<Sink>);
    }

    /// Versions only rise; false when the present one is newer or the same.
    bool put_in_force(std::shared_ptr<route_index const> routes);

    void set_repeat_burst(double burst)
    {
        allowance_.set_burst(burst);
    }

    /// Null before the first policy.
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

    /// Refuses new requests, unrun, from now on.
    void stop()
    {
        stopping_ = true;
    }

    void on_request(client_request request, absl::Time now);
    void on_client_gone(client_token token, absl::Time now);
    void on_result(endpoint from, execute_result const& result, absl::Time now);
    /// The connection stands again, to that start of the daemon.
    void on_peer_connected(
        endpoint daemon, std::uint64_t incarnation, absl::Time now);
    void on_peer_lost(endpoint daemon, absl::Time now);
    void tick(absl::Time now);

    absl::Time next_deadline() const
    {
        return std::min({deadlines_.next(), ask_due_, parked_due_});
    }

    std::size_t unanswered() const
    {
        return requests_.size();
    }

private:
    using request_map =
        absl::flat_hash_map<client_token, std::unique_ptr<entry_request>>;

    bool needs_unreachable(entry_request const& request, absl::Time now) const;
    void ask_unheard(absl::Time now);
    void leave_silent(endpoint daemon, absl::Time now);
    bool place(entry_request& request, absl::Time now);
    bool park(entry_request& request, absl::Time now);
    void place_parked(absl::Time now);
    bool may_repeat(entry_request& request, absl::Time now);
    void end_send(entry_request& request);
    void
    on_unknown(entry_request& request, verdict_reason reason, absl::Time now);
    void on_not_run(
        entry_request& request, execute_result const& result, absl::Time now);
    void refuse(
        entry_request& request,
        verdict_reason reason,
        absl::Duration retry_after,
        absl::Time now);
    void fail(
        entry_request& request,
        std::uint16_t status,
        verdict_reason reason,
        absl::Time now);
    void
    finish(entry_request& request, client_answer const& answer, absl::Time now);
    void refuse_unplaced(
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
    weighted_rotation rotation_;
    entry_admission admission_;
    request_map requests_;
    absl::flat_hash_map<std::uint64_t, client_token> by_exchange_;
    deadline_queue<client_token> deadlines_;
    std::uint64_t last_exchange_{};
    absl::Time ask_due_{absl::InfiniteFuture()};
    /// Calls that wait for an upstream.
    std::vector<client_token> parked_;
    absl::Time parked_due_{absl::InfiniteFuture()};
    bool stopping_{};
};

} // namespace samphire

#include "forwarding/request_entry.ipp"
#include "forwarding/request_entry_peers.ipp"
