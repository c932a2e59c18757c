#include "admission/time_weighted_average.hpp"

namespace samphire
{

void time_weighted_average::set_count(std::size_t count, absl::Time now)
{
    advance(now);
    count_ = count;
}

double time_weighted_average::take_average(absl::Time now)
{
    advance(now);
    double const seconds = absl::ToDoubleSeconds(now - last_average_at_);
    double const result =
        last_average_at_ == absl::InfinitePast() || seconds <= 0
            ? static_cast<double>(count_)
            : count_seconds_ / seconds;
    count_seconds_ = 0;
    last_average_at_ = now;
    return result;
}

void time_weighted_average::advance(absl::Time now)
{
    if (updated_at_ != absl::InfinitePast())
        count_seconds_ += static_cast<double>(count_) *
                          absl::ToDoubleSeconds(now - updated_at_);
    updated_at_ = now;
}

} // namespace samphire
