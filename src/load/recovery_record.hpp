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
    void add_whole(absl::Duration arrival);

    /// Time from the end of the fault until the service has recovered for good:
    /// the end of the last window of 500 ms with less than 95% whole answers.
    /// Nothing when the last window of the run is such a window.
    std::optional<absl::Duration> recovery_time(absl::Duration fault_end) const;

private:
    struct slice
    {
        std::uint64_t arrivals_{};
        std::uint64_t whole_{};
    };

    slice& slice_at(absl::Duration arrival);

    std::vector<slice> slices_;
};

} // namespace samphire
