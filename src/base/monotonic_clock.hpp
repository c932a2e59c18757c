#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Clock of the duty threads: starts at the wall-clock time of its construction
/// and never steps back, even when the wall clock is changed.
class monotonic_clock
{
public:
    monotonic_clock();

    absl::Time now() const;

private:
    absl::Time wall_start_;
    absl::Duration steady_start_;
};

} // namespace samphire
