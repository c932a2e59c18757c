#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Average over time of a count that changes in steps.
class time_weighted_average
{
public:
    void set_count(std::size_t count, absl::Time now);
    /// Returns the average since the previous call.
    double take_average(absl::Time now);

private:
    void advance(absl::Time now);

    std::size_t count_{};
    /// Integral of the count over time since the last call of take_average().
    double count_seconds_{};
    absl::Time updated_at_{absl::InfinitePast()};
    absl::Time last_average_at_{absl::InfinitePast()};
};

} // namespace samphire
