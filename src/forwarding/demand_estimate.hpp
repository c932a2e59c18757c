#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphire
{

/// Executions that a guard is asked for, by urgency, as if no entry refused any
/// request: each order counts as many times as its client's request stands for.
/// Since that does not depend on how much is refused at the moment, an entry
/// that acts on it late does not overshoot.
class demand_estimate
{
public:
    /// `weight`: 1 over the probability with which the client's request was
    /// admitted at its entry.
    void add(std::size_t urgency, double weight, absl::Time now);

    /// Executions a second, of all classes.
    double total(absl::Time now) const;

    /// Executions in 1,000 s, by urgency, the least urgent first.
    std::vector<std::uint32_t> rates(absl::Time now) const;

private:
    /// Mean over a short and a long time.
    struct rate
    {
        double fast_per_second_{};
        double slow_per_second_{};
        absl::Time at_{absl::InfinitePast()};
    };

    static rate faded(rate const& value, absl::Time now);
    static double best(rate const& value);

    std::vector<rate> rates_;
};

} // namespace samphire
