#include "admission/class_shares.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Reserved slots above the mean demand, as a number of standard deviations of
// the demand when requests arrive at random. With two, an arriving request
// nearly always finds a free slot.
constexpr double reserve_standard_deviations = 2;
constexpr double min_demand_slots = 0.01;
// Minimum ratio of its fair share of the slots that long work keeps under any
// load of short work. The requirement is 80%.
constexpr double guaranteed_ratio = 0.92;

std::uint32_t slots_with_reserve(double demand)
{
    return static_cast<std::uint32_t>(
        std::ceil(demand + reserve_standard_deviations * std::sqrt(demand)));
}

} // namespace

void class_shares::on_offered(
    admission_request const& request, absl::Duration run_time, absl::Time now)
{
    demand_by_class_[static_cast<std::size_t>(request.work_class_)].on_offered(
        run_time, now);
    if (request.importance_ == importance::critical)
        critical_demand_.on_offered(run_time, now);
}

void class_shares::on_started(admission_request const& request)
{
    ++running_requests_by_class_[static_cast<std::size_t>(request.work_class_)];
    if (request.importance_ == importance::critical)
        ++running_critical_requests_;
}

void class_shares::on_finished(admission_request const& request)
{
    --running_requests_by_class_[static_cast<std::size_t>(request.work_class_)];
    if (request.importance_ == importance::critical)
        --running_critical_requests_;
}

std::uint32_t
class_shares::max_long_slots(std::uint32_t limit, absl::Time now) const
{
    if (limit < 2)
        return limit;
    double const long_demand = demand(work_class::long_work, now);
    double const short_demand = demand(work_class::short_work, now);
    // Reserves at least one slot for each class.
    std::uint32_t const reserve =
        std::clamp(slots_with_reserve(short_demand), 1U, limit - 1);
    double const total = long_demand + short_demand;
    if (total < min_demand_slots)
        return limit - reserve;
    // At any demand of short work, long work keeps most of its own demand or,
    // under overload, most of its proportional share of the slots.
    double const fair_share =
        std::min(long_demand, limit * std::min(long_demand / total, 1.0));
    auto const guaranteed_slots =
        static_cast<std::uint32_t>(std::floor(fair_share * guaranteed_ratio));
    return std::max({limit - reserve, guaranteed_slots, 1U});
}

std::uint32_t class_shares::reserved_critical_slots(
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
    // Limits the reserve to half of the slots, so that critical requests that
    // hold their slots for long do not starve other work.
    return std::min(static_cast<std::uint32_t>(reserved_slots), limit / 2);
}

bool class_shares::may_start(
    admission_request const& request,
    std::uint32_t limit,
    std::size_t queued_long_requests,
    absl::Time now) const
{
    std::size_t const running_long = running(work_class::long_work);
    std::size_t const running_short = running(work_class::short_work);
    if (running_long + running_short >= limit)
        return false;
    std::size_t const max_long = max_long_slots(limit, now);
    bool const is_long = request.work_class_ == work_class::long_work;
    if (is_long && running_long >= max_long)
        return false;
    // Short work may use the slots of long work that long work neither holds
    // nor waits for.
    std::size_t const reserved_for_long =
        std::min(max_long, running_long + queued_long_requests);
    if (!is_long && running_short + reserved_for_long >= limit)
        return false;
    if (request.importance_ == importance::critical)
        return true;
    std::size_t const running_noncritical =
        running_long + running_short - running_critical_requests_;
    return running_noncritical +
               reserved_critical_slots(request.work_class_, limit, now) <
           limit;
}

} // namespace samphire
