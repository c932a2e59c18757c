#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Counts arrivals and whole answers by time of arrival, to measure the
/// recovery after a fault.
class recovery_record
{
public:
    /// `arrival` is the time of arrival since the start of the run.
    void add_arrival(absl::Duration arrival);
    void add_whole_answer(absl::Duration arrival);

    /// Returns the time from the end of the fault to the end of the last 500 ms
    /// window in which less than 95% of the arrivals got whole answers. Returns
    /// nothing when the last window of the run is such a window.
    std::optional<absl::Duration> recovery_time(absl::Duration fault_end) const;

private:
    struct slice
    {
        std::uint64_t arrivals_{};
        std::uint64_t whole_answers_{};
    };

    slice& slice_at(absl::Duration arrival);

    std::vector<slice> slices_;
};

} // namespace samphire
