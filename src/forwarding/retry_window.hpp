#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Counts the retries that were earned and spent within a sliding time window.
/// The window is divided into steps of equal duration. Earned retries expire up
/// to one step early and spent retries up to one step late, so the division
/// into steps never allows a retry too many.
class retry_window
{
public:
    explicit retry_window(absl::Duration window)
        : step_duration_(window / (step_count - 1))
    {
    }

    void earn_retries(double amount, absl::Time now);
    void spend_retry(absl::Time now);

    double earned_retries(absl::Time now) const;
    double spent_retries(absl::Time now) const;

private:
    static constexpr std::size_t step_count = 21;

    struct step_totals
    {
        /// Step number since the Unix epoch; a slot of another step is stale.
        std::int64_t step_number_{-1};
        double earned_retries_{};
        double spent_retries_{};
    };

    std::int64_t step_number_at(absl::Time now) const
    {
        return (now - absl::UnixEpoch()) / step_duration_;
    }

    step_totals& totals_at(absl::Time now);

    absl::Duration const step_duration_;
    std::array<step_totals, step_count> totals_{};
};

} // namespace samphire
