#include "forwarding/least_wait_placement.hpp"

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Assumed before the first execution has been seen.
constexpr absl::Duration unknown_run_time = absl::Milliseconds(50);
// A hop to another failure domain and back.
constexpr absl::Duration zone_hop = absl::Milliseconds(2);
// Bytes between failure domains are paid for, so a small gain stays at home.
constexpr double other_zone_factor = 1.08;
// Daemons with the same reports do not all choose the same upstream.
constexpr double spread = 0.1;
constexpr double most_failed = 0.9;
// The guard of a stopping daemon takes work for a while, and hands back what it
// has not started then. Worth it where others have a queue or are slow.
constexpr absl::Duration stopping_cost = absl::Milliseconds(100);
// A guard that may be cut off is used when no other is left.
constexpr absl::Duration last_resort = absl::Seconds(10);
// An upstream that gets nothing is tried again after this time: it may have
// joined, or no longer be slow.
constexpr absl::Duration explore_after = absl::Seconds(2);
// A slow upstream with a free slot goes before the queue of a fast one, whose
// wait grows for the urgent too.
constexpr double queue_factor = 3;

double busy_slots(peer_state const& peer)
{
    std::int64_t const sent_since =
        static_cast<std::int64_t>(peer.in_flight_) -
        static_cast<std::int64_t>(peer.in_flight_at_report_);
    std::int64_t const reported =
        std::int64_t{peer.load_.running_} + peer.load_.queued_;
    return static_cast<double>(
        std::max<std::int64_t>(reported + sent_since, peer.in_flight_));
}

/// Mean over the upstreams that have told theirs.
absl::Duration typical_run_time(std::vector<peer_state*> const& candidates)
{
    absl::Duration sum;
    std::int64_t known = 0;
    for (peer_state const* const peer : candidates)
    {
        if (peer->load_.service_time_us_ == 0)
            continue;
        sum += absl::Microseconds(peer->load_.service_time_us_);
        ++known;
    }
    return known == 0 ? unknown_run_time : sum / known;
}

placement estimate(peer_state& peer, absl::Duration typical)
{
    double const slots =
        std::max<double>(std::max(peer.load_.slots_, peer.record_.slots_), 1.0);
    absl::Duration const run_time =
        peer.load_.service_time_us_ > 0
            ? absl::Microseconds(peer.load_.service_time_us_)
            : typical;
    double const busy = busy_slots(peer);
    double const beyond = std::max(0.0, busy + 1 - slots);
    absl::Duration const wait = run_time * (beyond / slots);
    return {&peer, wait, wait + run_time};
}

double cost(
    placement const& option,
    std::string const& zone,
    absl::Time now,
    random_source& random)
{
    peer_state const& peer = *option.peer_;
    double const slots =
        std::max<double>(std::max(peer.load_.slots_, peer.record_.slots_), 1.0);
    double const run_time = absl::ToDoubleSeconds(option.total_ - option.wait_);
    // Upstreams slow down as they fill, and a report is never quite fresh.
    double const utilization = busy_slots(peer) / slots;
    double const failed = std::min(
        static_cast<double>(peer.load_.failed_permille_) / 1000, most_failed);
    double value = absl::ToDoubleSeconds(option.wait_) * queue_factor +
                   run_time * (1 + utilization) / ((1 - failed) * (1 - failed));
    if (peer.stopping_)
        value += absl::ToDoubleSeconds(stopping_cost);
    if (peer.silent(now))
        value += absl::ToDoubleSeconds(last_resort);
    if (peer.record_.zone_ != zone)
        value = value * other_zone_factor + absl::ToDoubleSeconds(zone_hop);
    double const draw = uniform_draw(random);
    return value * (1 + spread * draw);
}

} // namespace

bool takes_work(peer_state const& peer, absl::Time now)
{
    bool const reported_closed =
        peer.load_at_ != absl::InfinitePast() && !peer.load_.open_;
    return peer.connected_ && peer.record_.phase_ == upstream_phase::ready &&
           !reported_closed && peer.closed_until_ <= now;
}

std::optional<placement> least_wait_placement::choose(
    std::vector<peer_state*> const& candidates,
    std::vector<endpoint> const& tried,
    std::string const& zone,
    bool may_explore,
    absl::Time now,
    random_source& random) const
{
    absl::Duration const typical = typical_run_time(candidates);
    std::optional<placement> best;
    double best_cost = 0;
    for (peer_state* const peer : candidates)
    {
        bool const used =
            std::find(tried.begin(), tried.end(), peer->record_.daemon_) !=
            tried.end();
        if (used || !takes_work(*peer, now))
            continue;
        placement const option = estimate(*peer, typical);
        bool const look = may_explore && !peer->stopping_ &&
                          peer->unheard_since_ == absl::InfiniteFuture() &&
                          peer->last_sent_ + explore_after <= now &&
                          option.wait_ == absl::ZeroDuration();
        if (look)
            return option;
        double const value = cost(option, zone, now, random);
        if (!best || value < best_cost)
        {
            best = option;
            best_cost = value;
        }
    }
    return best;
}

} // namespace samphire
