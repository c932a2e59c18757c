#include "admission/time_average.hpp"

namespace samphire
{

void time_average::set(std::size_t count, absl::Time now)
{
    advance(now);
    count_ = count;
}

double time_average::take(absl::Time now)
{
    advance(now);
    double const seconds = absl::ToDoubleSeconds(now - taken_at_);
    double const result = taken_at_ == absl::InfinitePast() || seconds <= 0
                              ? static_cast<double>(count_)
                              : count_seconds_ / seconds;
    count_seconds_ = 0;
    taken_at_ = now;
    return result;
}

void time_average::advance(absl::Time now)
{
    if (since_ != absl::InfinitePast())
        count_seconds_ +=
            static_cast<double>(count_) * absl::ToDoubleSeconds(now - since_);
    since_ = now;
}

} // namespace samphire
