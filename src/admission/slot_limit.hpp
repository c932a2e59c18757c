#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Concurrency limit of the own upstream: the announced slots, lowered by load
/// that others put on the upstream.
class slot_limit
{
public:
    void set_slots(std::uint32_t slots);
    /// Counts how many requests of this guard are in flight.
    void observe_in_flight(std::size_t count, absl::Time now);
    /// Load that the upstream reported, possibly seconds ago.
    void report_load(std::uint32_t load, absl::Time now);

    std::uint32_t slots() const
    {
        return slots_;
    }

    /// Never above the announced slots and, while there are any, never below
    /// half of them.
    std::uint32_t current() const;

private:
    void turn_window(absl::Time now);

    std::uint32_t slots_{};
    std::uint32_t foreign_load_{};
    std::size_t recent_peak_{};
    std::size_t earlier_peak_{};
    absl::Time window_end_{absl::InfinitePast()};
};

} // namespace samphire
