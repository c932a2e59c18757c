#include "forwarding/repeat_window.hpp"

namespace samphire
{

repeat_window::count& repeat_window::at(absl::Time now)
{
    std::int64_t const step = step_of(now);
    count& current = counts_[static_cast<std::size_t>(step) % steps];
    if (current.step_ != step)
        current = {.step_ = step};
    return current;
}

void repeat_window::earn(double amount, absl::Time now)
{
    at(now).earned_ += amount;
}

void repeat_window::spend(absl::Time now)
{
    at(now).spent_ += 1;
}

double repeat_window::earned(absl::Time now) const
{
    // The oldest step lies partly outside of the window.
    std::int64_t const oldest =
        step_of(now) - static_cast<std::int64_t>(steps) + 2;
    double total = 0;
    for (count const& each : counts_)
        total += each.step_ >= oldest ? each.earned_ : 0;
    return total;
}

double repeat_window::spent(absl::Time now) const
{
    std::int64_t const oldest =
        step_of(now) - static_cast<std::int64_t>(steps) + 1;
    double total = 0;
    for (count const& each : counts_)
        total += each.step_ >= oldest ? each.spent_ : 0;
    return total;
}

} // namespace samphire
