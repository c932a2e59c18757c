#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// What was earned and spent within a sliding window of time. Counts in steps
/// of a part of the window, so that what is earned leaves a step early and what
/// is spent a step late.
class repeat_window
{
public:
    explicit repeat_window(absl::Duration window) : step_(window / (steps - 1))
    {
    }

    void earn(double amount, absl::Time now);
    void spend(absl::Time now);

    double earned(absl::Time now) const;
    double spent(absl::Time now) const;

private:
    static constexpr std::size_t steps = 21;

    struct count
    {
        /// Number of the step since the epoch; the slot is stale otherwise.
        std::int64_t step_{-1};
        double earned_{};
        double spent_{};
    };

    std::int64_t step_of(absl::Time now) const
    {
        return (now - absl::UnixEpoch()) / step_;
    }

    count& at(absl::Time now);

    absl::Duration const step_;
    std::array<count, steps> counts_{};
};

} // namespace samphire
