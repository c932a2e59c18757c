#include "forwarding/retry_window.hpp"

namespace samphire
{

retry_window::step_totals& retry_window::totals_at(absl::Time now)
{
    std::int64_t const step = step_number_at(now);
    step_totals& current = totals_[static_cast<std::size_t>(step) % step_count];
    if (current.step_number_ != step)
        current = {.step_number_ = step};
    return current;
}

void retry_window::earn_retries(double amount, absl::Time now)
{
    totals_at(now).earned_retries_ += amount;
}

void retry_window::spend_retry(absl::Time now)
{
    totals_at(now).spent_retries_ += 1;
}

double retry_window::earned_retries(absl::Time now) const
{
    // The oldest step lies partly outside the window, so its earned retries are
    // not counted.
    std::int64_t const oldest =
        step_number_at(now) - static_cast<std::int64_t>(step_count) + 2;
    double total = 0;
    for (step_totals const& each : totals_)
        total += each.step_number_ >= oldest ? each.earned_retries_ : 0;
    return total;
}

double retry_window::spent_retries(absl::Time now) const
{
    std::int64_t const oldest =
        step_number_at(now) - static_cast<std::int64_t>(step_count) + 1;
    double total = 0;
    for (step_totals const& each : totals_)
        total += each.step_number_ >= oldest ? each.spent_retries_ : 0;
    return total;
}

} // namespace samphire
