#include "base/monotonic_clock.hpp"

#include <absl/time/clock.h>

#include <chrono>

namespace samphire
{

namespace
{

absl::Duration steady_time()
{
    return absl::FromChrono(
        std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

monotonic_clock::monotonic_clock()
    : wall_start_(absl::Now()), steady_start_(steady_time())
{
}

absl::Time monotonic_clock::now() const
{
    return wall_start_ + (steady_time() - steady_start_);
}

} // namespace samphire
