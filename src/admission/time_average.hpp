#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Average over time of a count that changes in steps.
class time_average
{
public:
    void set(std::size_t count, absl::Time now);
    /// The average since the last take().
    double take(absl::Time now);

private:
    void advance(absl::Time now);

    std::size_t count_{};
    double count_seconds_{};
    absl::Time since_{absl::InfinitePast()};
    absl::Time taken_at_{absl::InfinitePast()};
};

} // namespace samphire
