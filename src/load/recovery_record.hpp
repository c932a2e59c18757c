#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Arrivals and whole answers by time of arrival, to tell when service was
/// back after a fault.
class recovery_record
{
public:
    /// `at` is the time of arrival since the start of the run.
    void add_arrival(absl::Duration at);
    void add_whole(absl::Duration at);

    /// Time from the end of the fault until service is back for good: the end
    /// of the last window of 500 ms with less than 95% whole answers. Nothing
    /// when the last window of the run is such a window.
    std::optional<absl::Duration> recovery(absl::Duration trigger_end) const;

private:
    struct slice
    {
        std::uint64_t arrivals_{};
        std::uint64_t whole_{};
    };

    slice& slice_at(absl::Duration at);

    std::vector<slice> slices_;
};

} // namespace samphire
