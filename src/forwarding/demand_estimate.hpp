#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphire
{

/// Estimates the rate of executions that would be requested of a guard, by
/// urgency class, if no entry refused any request: each execute_order counts
/// with the weight of its client's request. The estimate does not depend on how
/// many requests entries refuse at the moment, so an entry that reacts to the
/// estimate late does not overshoot.
class demand_estimate
{
public:
    /// Adds one requested execution. `weight`: 1 / (probability with which the
    /// entry admitted the client's request).
    void add(std::size_t urgency, double weight, absl::Time now);

    /// Returns the requested executions per second, summed over all urgency
    /// classes.
    double total_per_second(absl::Time now) const;

    /// Returns the requested executions per 1,000 s by urgency class, the least
    /// urgent class first.
    std::vector<std::uint32_t> rates_per_ks(absl::Time now) const;

private:
    /// Exponentially weighted mean rates of one urgency class, averaged over a
    /// short and a long time.
    struct class_rate
    {
        double short_mean_per_second_{};
        double long_mean_per_second_{};
        absl::Time updated_at_{absl::InfinitePast()};
    };

    static class_rate decayed(class_rate const& value, absl::Time now);
    static double effective_rate(class_rate const& value);

    std::vector<class_rate> class_rates_;
};

} // namespace samphire
