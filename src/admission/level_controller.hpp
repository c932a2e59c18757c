#pragma once

#include "admission/admission_level.hpp"
#include "admission/priority_histogram.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Raises the admission level while the queue wait is over its target and
/// lowers it otherwise.
class level_controller
{
public:
    /// A request of this priority was offered.
    void offered(std::uint64_t priority);
    /// True when the interval since the last update() has passed.
    bool due(absl::Time now) const;
    /// Moves the level. `wait` is the time that the queue needs to drain,
    /// `target` what it may need, `busy` the share of the slots in use since
    /// the last update.
    void update(
        absl::Duration wait,
        absl::Duration target,
        double busy,
        absl::Time now);

    admission_level level() const
    {
        return admission_level(level_);
    }

    /// When update() should be called next; infinite at level zero.
    absl::Time next_update() const;

private:
    std::uint64_t level_{};
    priority_histogram histogram_;
    absl::Duration last_wait_{};
    absl::Time updated_at_{absl::InfinitePast()};
    absl::Time next_update_{absl::InfinitePast()};
};

} // namespace samphire
