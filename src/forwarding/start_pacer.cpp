#include "forwarding/start_pacer.hpp"

#include <algorithm>

namespace samphire
{

void start_pacer::set_limit(rate_limit limit, absl::Time now)
{
    limit_ = limit;
    if (!limit_.is_limited())
        evenly_spaced_start_ = absl::InfinitePast();
    else
        // A limit that was raised applies to the next start already.
        evenly_spaced_start_ =
            std::min(evenly_spaced_start_, now + max_advance + interval());
}

void start_pacer::on_start(absl::Time now)
{
    if (limit_.is_limited())
        evenly_spaced_start_ = std::max(evenly_spaced_start_, now) + interval();
}

absl::Time start_pacer::next_start() const
{
    return limit_.is_limited() ? evenly_spaced_start_ - max_advance
                               : absl::InfinitePast();
}

absl::Duration
start_pacer::wait(std::size_t requests_ahead, absl::Time now) const
{
    if (!limit_.is_limited())
        return absl::ZeroDuration();
    absl::Time const start = std::max(next_start(), now - max_advance);
    return std::max(
        start + interval() * static_cast<double>(requests_ahead) - now,
        absl::ZeroDuration());
}

absl::Duration start_pacer::interval() const
{
    constexpr absl::Duration kilosecond = absl::Seconds(1000);
    return kilosecond / static_cast<double>(limit_.requests_per_ks_);
}

} // namespace samphire
