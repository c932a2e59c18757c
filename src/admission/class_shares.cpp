#include "admission/class_shares.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Slots above the mean demand, in standard deviations of random arrivals. With
// two, an arriving request nearly always finds a free slot.
constexpr double reserve_deviations = 2;
constexpr double min_demand_slots = 0.01;
// Ratio of its fair share that long work keeps under any load of short work.
// The requirement is 80%.
constexpr double guaranteed_ratio = 0.92;

std::uint32_t slots_with_reserve(double demand)
{
    return static_cast<std::uint32_t>(
        std::ceil(demand + reserve_deviations * std::sqrt(demand)));
}

} // namespace

void class_shares::offered(
    admission_request const& request, absl::Duration run_time, absl::Time now)
{
    demand_[static_cast<std::size_t>(request.work_class_)].offered(
        run_time, now);
    if (request.importance_ == importance::critical)
        critical_demand_.offered(run_time, now);
}

void class_shares::started(admission_request const& request)
{
    ++running_[static_cast<std::size_t>(request.work_class_)];
    if (request.importance_ == importance::critical)
        ++critical_running_;
}

void class_shares::finished(admission_request const& request)
{
    --running_[static_cast<std::size_t>(request.work_class_)];
    if (request.importance_ == importance::critical)
        --critical_running_;
}

std::uint32_t
class_shares::max_long_slots(std::uint32_t limit, absl::Time now) const
{
    if (limit < 2)
        return limit;
    double const long_demand = demand(work_class::long_work, now);
    double const short_demand = demand(work_class::short_work, now);
    // Each class keeps at least one slot.
    std::uint32_t const reserve =
        std::clamp(slots_with_reserve(short_demand), 1U, limit - 1);
    double const total = long_demand + short_demand;
    if (total < min_demand_slots)
        return limit - reserve;
    // Whatever the demand of short work, long work keeps most of its own demand
    // or, under overload, most of its proportional share of the slots.
    double const fair_share =
        std::min(long_demand, limit * std::min(long_demand / total, 1.0));
    auto const guaranteed =
        static_cast<std::uint32_t>(std::floor(fair_share * guaranteed_ratio));
    return std::max({limit - reserve, guaranteed, 1U});
}

std::uint32_t class_shares::critical_reserve(
    work_class requesting_class, std::uint32_t limit, absl::Time now) const
{
    double const critical_demand = critical_demand_.required_slots(now);
    if (critical_demand < min_demand_slots || limit < 2)
        return 0;
    // Short work frees its slot soon, and critical work is first in the queue,
    // so the demand is rounded down for short work: with four slots, reserving
    // one of them for a demand of 0.4 slots costs 15% of the goodput.
    double const reserved_slots = requesting_class == work_class::long_work
                                      ? std::ceil(critical_demand)
                                      : std::floor(critical_demand);
    // Critical requests that hold their slots for long must not starve others.
    return std::min(static_cast<std::uint32_t>(reserved_slots), limit / 2);
}

bool class_shares::may_start(
    admission_request const& request,
    std::uint32_t limit,
    std::size_t long_waiting,
    absl::Time now) const
{
    std::size_t const long_running = running(work_class::long_work);
    std::size_t const short_running = running(work_class::short_work);
    if (long_running + short_running >= limit)
        return false;
    std::size_t const max_long = max_long_slots(limit, now);
    bool const is_long = request.work_class_ == work_class::long_work;
    if (is_long && long_running >= max_long)
        return false;
    // Short work may use the slots of long work that long work neither holds
    // nor waits for.
    std::size_t const reserved_for_long =
        std::min(max_long, long_running + long_waiting);
    if (!is_long && short_running + reserved_for_long >= limit)
        return false;
    if (request.importance_ == importance::critical)
        return true;
    std::size_t const noncritical_running =
        long_running + short_running - critical_running_;
    return noncritical_running +
               critical_reserve(request.work_class_, limit, now) <
           limit;
}

} // namespace samphire
