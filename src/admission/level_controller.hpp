#pragma once

#include "admission/admission_level.hpp"
#include "admission/priority_histogram.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Raises the admission level while the queue wait is above its target, and
/// lowers the level otherwise.
class level_controller
{
public:
    /// Counts an offered request of this priority.
    void on_offered(std::uint64_t priority);
    /// Returns true when update() should be called.
    bool is_update_due(absl::Time now) const;
    /// Adjusts the admission level. `queue_wait` is the time that the queue
    /// needs to drain, `target_wait` the desired upper bound of that time,
    /// `busy_ratio` the average ratio of slots in use since the last update.
    void update(
        absl::Duration queue_wait,
        absl::Duration target_wait,
        double busy_ratio,
        absl::Time now);

    admission_level level() const
    {
        return admission_level(level_);
    }

    /// Returns the time at which update() should be called next; infinite at
    /// level zero.
    absl::Time next_update() const;

private:
    std::uint64_t level_{};
    priority_histogram histogram_;
    absl::Duration last_queue_wait_{};
    absl::Time updated_at_{absl::InfinitePast()};
    absl::Time next_update_at_{absl::InfinitePast()};
};

} // namespace samphire
