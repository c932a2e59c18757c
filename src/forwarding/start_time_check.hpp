#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Whether an upstream can have started at this Unix time in milliseconds. The
/// clocks of two VMs differ, and may be set back after a start, but not by an
/// hour. A start far in the future would hide each later one, since the latest
/// start is believed.
inline bool is_plausible_start(std::int64_t start_time_ms, absl::Time now)
{
    constexpr absl::Duration max_clock_difference = absl::Hours(1);
    return absl::FromUnixMillis(start_time_ms) <= now + max_clock_difference;
}

} // namespace samphire
