#include "admission/class_shares.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Random arrivals need about two standard deviations above their mean demand
// to find a slot free nearly always.
constexpr double reserve_deviations = 2;
constexpr double least_demand = 0.01;
// Above the required 80%.
constexpr double guaranteed_part = 0.92;

std::uint32_t slots_for(double demand)
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
class_shares::long_share(std::uint32_t limit, absl::Time now) const
{
    if (limit < 2)
        return limit;
    double const wanted_long = demand(work_class::long_work, now);
    double const wanted_short = demand(work_class::short_work, now);
    // Each class keeps at least one slot.
    std::uint32_t const reserve =
        std::clamp(slots_for(wanted_short), 1U, limit - 1);
    double const total = wanted_long + wanted_short;
    if (total < least_demand)
        return limit - reserve;
    // Whatever short work asks for, long work keeps most of what it needs or,
    // under overload, of its part of the slots.
    double const fair =
        std::min(wanted_long, limit * std::min(wanted_long / total, 1.0));
    auto const guaranteed =
        static_cast<std::uint32_t>(std::floor(fair * guaranteed_part));
    return std::max({limit - reserve, guaranteed, 1U});
}

std::uint32_t class_shares::critical_floor(
    work_class other, std::uint32_t limit, absl::Time now) const
{
    double const wanted = critical_demand_.slots(now);
    if (wanted < least_demand || limit < 2)
        return 0;
    // Short work gives its slot back soon, and critical work is next in the
    // queue, so only whole slots of demand are kept from it: with four slots
    // one that is kept for a demand of 0.4 cost 15% of the goodput.
    double const kept =
        other == work_class::long_work ? std::ceil(wanted) : std::floor(wanted);
    // Others must not be shut out by critical work that holds slots long.
    return std::min(static_cast<std::uint32_t>(kept), limit / 2);
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
    std::size_t const share = long_share(limit, now);
    bool const is_long = request.work_class_ == work_class::long_work;
    if (is_long && long_running >= share)
        return false;
    // Short work borrows slots of long work only while none of it waits.
    std::size_t const kept_for_long =
        std::min(share, long_running + long_waiting);
    if (!is_long && short_running + kept_for_long >= limit)
        return false;
    if (request.importance_ == importance::critical)
        return true;
    std::size_t const others = long_running + short_running - critical_running_;
    return others + critical_floor(request.work_class_, limit, now) < limit;
}

} // namespace samphire
