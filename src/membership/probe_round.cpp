#include "membership/probe_round.hpp"

namespace samphire
{

void probe_round::start(
    member_key const& target, std::uint64_t sequence, absl::Time now)
{
    target_.emplace(target);
    sequence_ = sequence;
    indirect_at_ = now + direct_wait;
}

void probe_round::acknowledge(std::uint64_t sequence)
{
    if (!target_ || sequence != sequence_)
        return;
    target_.reset();
    indirect_at_ = absl::InfiniteFuture();
}

bool probe_round::take_indirect(absl::Time now)
{
    if (!target_ || now < indirect_at_)
        return false;
    indirect_at_ = absl::InfiniteFuture();
    return true;
}

std::optional<member_key> probe_round::finish()
{
    std::optional<member_key> const missed = target_;
    target_.reset();
    indirect_at_ = absl::InfiniteFuture();
    return missed;
}

absl::Time probe_round::next_deadline() const
{
    return indirect_at_;
}

} // namespace samphire
