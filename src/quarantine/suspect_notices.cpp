#include "quarantine/suspect_notices.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// A datagram holds 1,200 bytes; a suspect takes 13.
constexpr std::size_t suspects_per_datagram = 60;
// Five copies: at 20% loss one receiver in 3,000 misses all.
constexpr unsigned copies = 5;
constexpr absl::Duration repeat_interval = absl::Milliseconds(100);
constexpr std::size_t capacity = 256;

} // namespace

void suspect_notices::add(
    std::vector<crash_suspect> const& suspects, absl::Time now)
{
    std::size_t first = 0;
    while (first < suspects.size())
    {
        std::size_t const end =
            std::min(first + suspects_per_datagram, suspects.size());
        std::vector<crash_suspect> part;
        for (; first < end; ++first)
            part.push_back(suspects[first]);
        if (notices_.size() >= capacity)
            notices_.pop_front();
        notices_.push_back({crash_suspects{std::move(part)}, now, copies});
    }
}

std::vector<crash_suspects> suspect_notices::take_due(absl::Time now)
{
    std::vector<crash_suspects> result;
    for (auto it = notices_.begin(); it != notices_.end();)
    {
        if (it->due_ > now)
        {
            ++it;
            continue;
        }
        result.push_back(it->message_);
        it->due_ = now + repeat_interval;
        it = --it->repeats_ == 0 ? notices_.erase(it) : std::next(it);
    }
    return result;
}

absl::Time suspect_notices::next_deadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (notice const& held : notices_)
        next = std::min(next, held.due_);
    return next;
}

} // namespace samphire
