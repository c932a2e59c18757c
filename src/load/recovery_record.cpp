#include "load/recovery_record.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr absl::Duration slice_length = absl::Milliseconds(100);
constexpr std::size_t slices_per_window = 5;
constexpr double min_whole_answer_ratio = 0.95;

} // namespace

void recovery_record::add_arrival(absl::Duration arrival)
{
    ++slice_at(arrival).arrivals_;
}

void recovery_record::add_whole_answer(absl::Duration arrival)
{
    ++slice_at(arrival).whole_answers_;
}

std::optional<absl::Duration>
recovery_record::recovery_time(absl::Duration fault_end) const
{
    auto const first = static_cast<std::size_t>(
        absl::ToInt64Milliseconds(fault_end) /
        absl::ToInt64Milliseconds(slice_length));
    absl::Duration result = absl::ZeroDuration();
    bool last_window_recovered = true;
    for (std::size_t end = first + slices_per_window; end <= slices_.size();
         ++end)
    {
        std::uint64_t arrivals = 0;
        std::uint64_t whole_answers = 0;
        for (std::size_t n = end - slices_per_window; n < end; ++n)
        {
            arrivals += slices_[n].arrivals_;
            whole_answers += slices_[n].whole_answers_;
        }
        last_window_recovered =
            static_cast<double>(whole_answers) >=
            min_whole_answer_ratio * static_cast<double>(arrivals);
        if (!last_window_recovered)
            result = slice_length * static_cast<double>(end) - fault_end;
    }
    return last_window_recovered ? std::optional(result) : std::nullopt;
}

recovery_record::slice& recovery_record::slice_at(absl::Duration arrival)
{
    auto const index = static_cast<std::size_t>(
        std::max(absl::ZeroDuration(), arrival) / slice_length);
    if (index >= slices_.size())
        slices_.resize(index + 1);
    return slices_[index];
}

} // namespace samphire
