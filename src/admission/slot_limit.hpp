#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Concurrency limit of the local upstream: the announced slots, reduced by the
/// load that requests from outside this guard put on the upstream.
class slot_limit
{
public:
    void set_slots(std::uint32_t slots);
    /// Records the number of requests of this guard that are in flight.
    void observe_in_flight(std::size_t count, absl::Time now);
    /// Records the load that the upstream reported, possibly seconds ago.
    void report_load(std::uint32_t reported_load, absl::Time now);

    std::uint32_t slots() const
    {
        return slots_;
    }

    /// Returns the current limit: at most the announced slots and at least half
    /// of them.
    std::uint32_t max_in_flight() const;

private:
    void advance_window(absl::Time now);

    std::uint32_t slots_{};
    std::uint32_t external_load_{};
    std::size_t current_window_peak_in_flight_{};
    std::size_t previous_window_peak_in_flight_{};
    absl::Time window_end_{absl::InfinitePast()};
};

} // namespace samphire
