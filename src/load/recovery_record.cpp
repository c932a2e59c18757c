#include "load/recovery_record.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr absl::Duration slice_length = absl::Milliseconds(100);
constexpr std::size_t window_slices = 5;
constexpr double whole_share = 0.95;

} // namespace

void recovery_record::add_arrival(absl::Duration at)
{
    ++slice_at(at).arrivals_;
}

void recovery_record::add_whole(absl::Duration at)
{
    ++slice_at(at).whole_;
}

std::optional<absl::Duration>
recovery_record::recovery(absl::Duration trigger_end) const
{
    auto const first = static_cast<std::size_t>(
        absl::ToInt64Milliseconds(trigger_end) /
        absl::ToInt64Milliseconds(slice_length));
    absl::Duration result = absl::ZeroDuration();
    bool last_is_good = true;
    for (std::size_t end = first + window_slices; end <= slices_.size(); ++end)
    {
        std::uint64_t arrivals = 0;
        std::uint64_t whole = 0;
        for (std::size_t n = end - window_slices; n < end; ++n)
        {
            arrivals += slices_[n].arrivals_;
            whole += slices_[n].whole_;
        }
        last_is_good = static_cast<double>(whole) >=
                       whole_share * static_cast<double>(arrivals);
        if (!last_is_good)
            result = slice_length * static_cast<double>(end) - trigger_end;
    }
    return last_is_good ? std::optional(result) : std::nullopt;
}

recovery_record::slice& recovery_record::slice_at(absl::Duration at)
{
    auto const index = static_cast<std::size_t>(
        std::max(absl::ZeroDuration(), at) / slice_length);
    if (index >= slices_.size())
        slices_.resize(index + 1);
    return slices_[index];
}

} // namespace samphire
