#include "store/departed_sweep.hpp"

#include "base/hashing.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

std::uint64_t weight(endpoint daemon, endpoint departed)
{
    return stable_hash(daemon.text() + " " + departed.text());
}

} // namespace

std::optional<stored_upstream> departed_sweep::choose(
    std::vector<stored_upstream> const& objects,
    std::vector<daemon_reachability> const& reach,
    absl::Time now) const
{
    if (now < started_at_ + retention_period)
        return std::nullopt;
    auto const connected = std::count_if(
        reach.begin(),
        reach.end(),
        [](daemon_reachability const& other)
        { return other.unreachable_duration_ == absl::ZeroDuration(); });
    // With fewer than half of the others connected, this daemon itself is
    // probably cut off.
    if (2 * static_cast<std::size_t>(connected) < reach.size())
        return std::nullopt;
    for (stored_upstream const& object : objects)
    {
        endpoint const daemon = object.record_.daemon_;
        auto const entry = std::find_if(
            reach.begin(),
            reach.end(),
            [&](daemon_reachability const& other)
            { return other.daemon_ == daemon; });
        if (entry != reach.end() &&
            entry->unreachable_duration_ >= retention_period &&
            is_responsible(daemon, reach))
            return object;
    }
    return std::nullopt;
}

bool departed_sweep::is_responsible(
    endpoint departed, std::vector<daemon_reachability> const& reach) const
{
    std::uint64_t const own_weight = weight(own_address_, departed);
    return std::all_of(
        reach.begin(),
        reach.end(),
        [&](daemon_reachability const& other)
        {
            return other.unreachable_duration_ > absl::ZeroDuration() ||
                   weight(other.daemon_, departed) <= own_weight;
        });
}

} // namespace samphire
