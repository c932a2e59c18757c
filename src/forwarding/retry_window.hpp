#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Retries that were earned and spent within a sliding time window. The window
/// is divided into steps; earned amounts expire one step early and spent ones
/// one step late, so that the limit holds for any window.
class retry_window
{
public:
    explicit retry_window(absl::Duration window)
        : step_(window / (max_steps - 1))
    {
    }

    void earn(double amount, absl::Time now);
    void spend(absl::Time now);

    double earned(absl::Time now) const;
    double spent(absl::Time now) const;

private:
    static constexpr std::size_t max_steps = 21;

    struct step_totals
    {
        /// Number of the step since the epoch. Totals with another number are
        /// out of date.
        std::int64_t step_{-1};
        double earned_{};
        double spent_{};
    };

    std::int64_t step_of(absl::Time now) const
    {
        return (now - absl::UnixEpoch()) / step_;
    }

    step_totals& totals_at(absl::Time now);

    absl::Duration const step_;
    std::array<step_totals, max_steps> totals_{};
};

} // namespace samphire
