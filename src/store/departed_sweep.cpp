#include "store/departed_sweep.hpp"

#include "base/hashing.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

/// Returns the weight of `daemon` in the rendezvous hashing for `departed`; the
/// connected daemon with the highest weight is responsible.
std::uint64_t rendezvous_weight(endpoint daemon, endpoint departed)
{
    return stable_hash(daemon.text() + " " + departed.text());
}

} // namespace

std::optional<stored_upstream> departed_sweep::choose_object_to_remove(
    std::vector<stored_upstream> const& objects,
    std::vector<daemon_reachability> const& reachabilities,
    absl::Time now) const
{
    if (now < started_at_ + retention_period)
        return std::nullopt;
    auto const connected = std::count_if(
        reachabilities.begin(),
        reachabilities.end(),
        [](daemon_reachability const& other)
        { return other.unreachable_duration_ == absl::ZeroDuration(); });
    // When fewer than half of the other daemons are connected, this daemon
    // itself is probably cut off, so it removes nothing.
    if (2 * static_cast<std::size_t>(connected) < reachabilities.size())
        return std::nullopt;
    for (stored_upstream const& object : objects)
    {
        endpoint const daemon = object.record_.daemon_;
        auto const reachability = std::find_if(
            reachabilities.begin(),
            reachabilities.end(),
            [&](daemon_reachability const& other)
            { return other.daemon_ == daemon; });
        if (reachability != reachabilities.end() &&
            reachability->unreachable_duration_ >= retention_period &&
            is_responsible(daemon, reachabilities))
            return object;
    }
    return std::nullopt;
}

bool departed_sweep::is_responsible(
    endpoint departed,
    std::vector<daemon_reachability> const& reachabilities) const
{
    std::uint64_t const own_weight = rendezvous_weight(own_address_, departed);
    return std::all_of(
        reachabilities.begin(),
        reachabilities.end(),
        [&](daemon_reachability const& other)
        {
            return other.unreachable_duration_ > absl::ZeroDuration() ||
                   rendezvous_weight(other.daemon_, departed) <= own_weight;
        });
}

} // namespace samphire
