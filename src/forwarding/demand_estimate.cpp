#include "forwarding/demand_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// The mean over the long time is quiet; the one over the short time goes before
// it when they differ by more than chance, as at the begin and end of a crest.
constexpr absl::Duration short_memory = absl::Milliseconds(80);
constexpr absl::Duration long_memory = absl::Milliseconds(400);
constexpr double least_change = 0.25;
// Standard deviations of the short mean that chance may explain.
constexpr double most_chance = 3;
// An order from a peer with another policy may name any class.
constexpr std::size_t most_classes = 16;
// One order of a class that is all but refused does not decide alone.
constexpr double most_weight = 100;
constexpr double per_kilosecond = 1000;

} // namespace

demand_estimate::rate demand_estimate::faded(rate const& value, absl::Time now)
{
    if (value.at_ == absl::InfinitePast())
        return {};
    absl::Duration const age = now - value.at_;
    return {
        value.fast_per_second_ *
            std::exp(-absl::FDivDuration(age, short_memory)),
        value.slow_per_second_ *
            std::exp(-absl::FDivDuration(age, long_memory)),
        now};
}

double demand_estimate::best(rate const& value)
{
    double const fast = value.fast_per_second_;
    double const slow = value.slow_per_second_;
    double const deviation =
        std::sqrt(slow / (2 * absl::ToDoubleSeconds(short_memory)));
    bool const changed = std::abs(fast - slow) >
                         std::max(least_change * slow, most_chance * deviation);
    return changed ? fast : slow;
}

void demand_estimate::add(std::size_t urgency, double weight, absl::Time now)
{
    if (urgency >= most_classes || !(weight > 0))
        return;
    if (rates_.size() <= urgency)
        rates_.resize(urgency + 1);
    rate updated = faded(rates_[urgency], now);
    double const added = std::min(weight, most_weight);
    updated.fast_per_second_ += added / absl::ToDoubleSeconds(short_memory);
    updated.slow_per_second_ += added / absl::ToDoubleSeconds(long_memory);
    updated.at_ = now;
    rates_[urgency] = updated;
}

double demand_estimate::total(absl::Time now) const
{
    double result = 0;
    for (rate const& each : rates_)
        result += best(faded(each, now));
    return result;
}

std::vector<std::uint32_t> demand_estimate::rates(absl::Time now) const
{
    std::vector<std::uint32_t> result;
    result.reserve(rates_.size());
    for (rate const& each : rates_)
        result.push_back(static_cast<std::uint32_t>(
            best(faded(each, now)) * per_kilosecond));
    return result;
}

} // namespace samphire
