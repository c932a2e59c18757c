#include "forwarding/demand_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Averaging times of the two mean rates of requested executions. The mean with
// the long averaging time has less noise and is used normally. The mean with
// the short averaging time is used when the two means differ by more than
// random variation explains, as at the start and end of a load peak.
constexpr absl::Duration short_averaging_time = absl::Milliseconds(80);
constexpr absl::Duration long_averaging_time = absl::Milliseconds(400);
constexpr double min_relative_change = 0.25;
// A difference between the two means of up to this many standard deviations of
// the short-time mean is taken for random variation.
constexpr double max_noise_deviations = 3;
// Bounds the size of `class_rates_`: an order from a daemon with another
// version of the operators' policy may name any urgency class.
constexpr std::size_t max_urgency_classes = 16;
// Limits the effect of a single order of an urgency class that entries refuse
// almost completely.
constexpr double max_weight = 100;
constexpr double per_kilosecond = 1000;

} // namespace

demand_estimate::class_rate
demand_estimate::decayed(class_rate const& value, absl::Time now)
{
    if (value.updated_at_ == absl::InfinitePast())
        return {};
    absl::Duration const age = now - value.updated_at_;
    return {
        value.short_mean_per_second_ *
            std::exp(-absl::FDivDuration(age, short_averaging_time)),
        value.long_mean_per_second_ *
            std::exp(-absl::FDivDuration(age, long_averaging_time)),
        now};
}

double demand_estimate::effective_rate(class_rate const& value)
{
    double const short_mean = value.short_mean_per_second_;
    double const long_mean = value.long_mean_per_second_;
    double const deviation = std::sqrt(
        long_mean / (2 * absl::ToDoubleSeconds(short_averaging_time)));
    bool const has_changed =
        std::abs(short_mean - long_mean) >
        std::max(
            min_relative_change * long_mean, max_noise_deviations * deviation);
    return has_changed ? short_mean : long_mean;
}

void demand_estimate::add(std::size_t urgency, double weight, absl::Time now)
{
    if (urgency >= max_urgency_classes || !(weight > 0))
        return;
    if (class_rates_.size() <= urgency)
        class_rates_.resize(urgency + 1);
    class_rate updated = decayed(class_rates_[urgency], now);
    double const capped_weight = std::min(weight, max_weight);
    updated.short_mean_per_second_ +=
        capped_weight / absl::ToDoubleSeconds(short_averaging_time);
    updated.long_mean_per_second_ +=
        capped_weight / absl::ToDoubleSeconds(long_averaging_time);
    updated.updated_at_ = now;
    class_rates_[urgency] = updated;
}

double demand_estimate::total_per_second(absl::Time now) const
{
    double result = 0;
    for (class_rate const& each : class_rates_)
        result += effective_rate(decayed(each, now));
    return result;
}

std::vector<std::uint32_t> demand_estimate::rates_per_ks(absl::Time now) const
{
    std::vector<std::uint32_t> result;
    result.reserve(class_rates_.size());
    for (class_rate const& each : class_rates_)
        result.push_back(static_cast<std::uint32_t>(
            effective_rate(decayed(each, now)) * per_kilosecond));
    return result;
}

} // namespace samphire
