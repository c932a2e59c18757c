#include "forwarding/least_wait_placement.hpp"

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Run time that is assumed while no upstream has reported one.
constexpr absl::Duration default_run_time = absl::Milliseconds(50);
// Duration of a network round trip to another failure domain.
constexpr absl::Duration cross_zone_round_trip = absl::Milliseconds(2);
// Factor on the expected time at an upstream in another failure domain: traffic
// between failure domains costs money, which only a large gain in time
// justifies. Without a queue the times of equal upstreams differ by less.
constexpr double cross_zone_cost_factor = 1.4;
// Maximum random increase of the expected time, as a ratio, so that daemons
// with the same load reports do not all choose the same upstream.
constexpr double max_cost_jitter = 0.1;
constexpr double max_failed_ratio = 0.9;
// Time added for an upstream whose daemon is stopping. Its guard still accepts
// requests for a short time and then returns those that it has not started.
// Such a guard is used when the other upstreams have a queue or are slow.
constexpr absl::Duration stopping_penalty = absl::Milliseconds(100);
// Time added for a silent guard, whose link may be broken; high enough that the
// guard is used only when no other is available.
constexpr absl::Duration silent_penalty = absl::Seconds(10);
// An upstream with no expected wait that was sent no request for this time is
// sent one whatever the cost, since the upstream may be new or no longer slow.
constexpr absl::Duration explore_interval = absl::Seconds(2);
// Factor on the expected wait. It makes a slow upstream with a free slot cost
// less than a fast upstream with a queue, since a queue delays urgent requests
// too.
constexpr double queue_cost_factor = 3;

/// Returns the estimated number of requests that run or wait at the peer.
double estimated_unfinished_requests(peer_state const& peer)
{
    std::int64_t const sent_since =
        static_cast<std::int64_t>(peer.in_flight_requests_) -
        static_cast<std::int64_t>(peer.in_flight_requests_at_report_);
    std::int64_t const reported = std::int64_t{peer.load_.running_executions_} +
                                  peer.load_.queued_executions_;
    return static_cast<double>(std::max<std::int64_t>(
        reported + sent_since, peer.in_flight_requests_));
}

/// Returns the mean run time of the upstreams that have reported one.
absl::Duration mean_run_time_of(std::vector<peer_state*> const& candidates)
{
    absl::Duration sum;
    std::int64_t reporting_peers = 0;
    for (peer_state const* const peer : candidates)
    {
        if (peer->load_.run_time_us_ == 0)
            continue;
        sum += absl::Microseconds(peer->load_.run_time_us_);
        ++reporting_peers;
    }
    return reporting_peers == 0 ? default_run_time : sum / reporting_peers;
}

/// Returns the expected wait until the rate limit of the upstream lets another
/// request start.
absl::Duration rate_limited_wait(peer_state const& peer)
{
    if (!peer.rate_limit_.is_limited())
        return absl::ZeroDuration();
    std::int64_t const sent_since =
        std::int64_t{peer.in_flight_requests_} -
        std::int64_t{peer.in_flight_requests_at_report_};
    std::int64_t const waiting = std::int64_t{peer.load_.queued_executions_} +
                                 std::max<std::int64_t>(sent_since, 0);
    return absl::Seconds(1000) * static_cast<double>(waiting) /
           static_cast<double>(peer.rate_limit_.requests_per_ks_);
}

placement estimate_placement(peer_state& peer, absl::Duration mean_run_time)
{
    double const slots =
        std::max<double>(std::max(peer.load_.slots_, peer.record_.slots_), 1.0);
    absl::Duration const run_time =
        peer.load_.run_time_us_ > 0
            ? absl::Microseconds(peer.load_.run_time_us_)
            : mean_run_time;
    double const requests = estimated_unfinished_requests(peer);
    double const excess_requests = std::max(0.0, requests + 1 - slots);
    absl::Duration const wait =
        std::max(run_time * (excess_requests / slots), rate_limited_wait(peer));
    return {&peer, wait, wait + run_time};
}

/// Returns the expected time until the answer with all factors and penalties;
/// the upstream with the lowest cost is chosen.
double cost_seconds(
    placement const& option,
    std::string const& zone,
    absl::Time now,
    random_source& random)
{
    peer_state const& peer = *option.peer_;
    double const slots =
        std::max<double>(std::max(peer.load_.slots_, peer.record_.slots_), 1.0);
    double const run_time =
        absl::ToDoubleSeconds(option.expected_total_ - option.expected_wait_);
    // The run time is weighted with the utilization, because upstreams slow
    // down as they fill up and load reports are always slightly out of date.
    double const utilization = estimated_unfinished_requests(peer) / slots;
    double const failed_ratio = std::min(
        static_cast<double>(peer.load_.failed_permille_) / 1000,
        max_failed_ratio);
    double seconds =
        absl::ToDoubleSeconds(option.expected_wait_) * queue_cost_factor +
        run_time * (1 + utilization) /
            ((1 - failed_ratio) * (1 - failed_ratio));
    if (peer.is_stopping_)
        seconds += absl::ToDoubleSeconds(stopping_penalty);
    if (peer.is_silent(now))
        seconds += absl::ToDoubleSeconds(silent_penalty);
    if (peer.record_.zone_ != zone)
        seconds = seconds * cross_zone_cost_factor +
                  absl::ToDoubleSeconds(cross_zone_round_trip);
    double const draw = uniform_draw(random);
    return seconds * (1 + max_cost_jitter * draw);
}

} // namespace

bool accepts_work(peer_state const& peer, absl::Time now)
{
    bool const reported_closed =
        peer.load_report_time_ != absl::InfinitePast() &&
        !peer.load_.accepts_work_;
    return peer.connected_ && peer.record_.phase_ == upstream_phase::ready &&
           !reported_closed && peer.cooldown_until_ <= now;
}

std::optional<placement> least_wait_placement::choose(
    std::vector<peer_state*> const& candidates,
    std::vector<endpoint> const& tried,
    std::string const& zone,
    bool may_explore,
    absl::Time now,
    random_source& random) const
{
    absl::Duration const mean_run_time = mean_run_time_of(candidates);
    std::optional<placement> best;
    double best_cost_seconds = 0;
    for (peer_state* const peer : candidates)
    {
        bool const already_tried =
            std::find(tried.begin(), tried.end(), peer->record_.daemon_) !=
            tried.end();
        if (already_tried || !accepts_work(*peer, now))
            continue;
        placement const option = estimate_placement(*peer, mean_run_time);
        bool const explore =
            may_explore && !peer->is_stopping_ &&
            peer->awaiting_reply_since_ == absl::InfiniteFuture() &&
            peer->last_sent_ + explore_interval <= now &&
            option.expected_wait_ == absl::ZeroDuration();
        if (explore)
            return option;
        double const seconds = cost_seconds(option, zone, now, random);
        if (!best || seconds < best_cost_seconds)
        {
            best = option;
            best_cost_seconds = seconds;
        }
    }
    return best;
}

} // namespace samphire
