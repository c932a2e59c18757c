#include "quarantine/suspect_notices.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// 60 suspects of 13 bytes take 780 bytes; a datagram holds 1,200 bytes.
constexpr std::size_t suspects_per_datagram = 60;
// At 20% packet loss, one receiver in 3,000 misses all five copies.
constexpr unsigned copies_per_notice = 5;
constexpr absl::Duration repeat_interval = absl::Milliseconds(100);
constexpr std::size_t max_notices = 256;

} // namespace

void suspect_notices::add(
    std::vector<crash_suspect> const& suspects, absl::Time now)
{
    std::size_t first = 0;
    while (first < suspects.size())
    {
        std::size_t const end =
            std::min(first + suspects_per_datagram, suspects.size());
        std::vector<crash_suspect> batch;
        for (; first < end; ++first)
            batch.push_back(suspects[first]);
        if (notices_.size() >= max_notices)
            notices_.pop_front();
        notices_.push_back(
            {crash_suspects{std::move(batch)}, now, copies_per_notice});
    }
}

std::vector<crash_suspects> suspect_notices::take_due_messages(absl::Time now)
{
    std::vector<crash_suspects> result;
    for (auto it = notices_.begin(); it != notices_.end();)
    {
        if (it->next_send_at_ > now)
        {
            ++it;
            continue;
        }
        result.push_back(it->message_);
        it->next_send_at_ = now + repeat_interval;
        it = --it->remaining_copies_ == 0 ? notices_.erase(it) : std::next(it);
    }
    return result;
}

absl::Time suspect_notices::next_deadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (pending_notice const& pending : notices_)
        next = std::min(next, pending.next_send_at_);
    return next;
}

} // namespace samphire
