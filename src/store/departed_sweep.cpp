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
    std::vector<daemon_reach> const& reach,
    absl::Time now) const
{
    if (now < started_ + retention)
        return std::nullopt;
    auto const connected = std::count_if(
        reach.begin(),
        reach.end(),
        [](daemon_reach const& each)
        { return each.unreached_ == absl::ZeroDuration(); });
    // Behind a cut most of the others seem gone.
    if (2 * static_cast<std::size_t>(connected) < reach.size())
        return std::nullopt;
    for (stored_upstream const& object : objects)
    {
        endpoint const daemon = object.record_.daemon_;
        auto const seen = std::find_if(
            reach.begin(),
            reach.end(),
            [&](daemon_reach const& each) { return each.daemon_ == daemon; });
        if (seen != reach.end() && seen->unreached_ >= retention &&
            is_chosen(daemon, reach))
            return object;
    }
    return std::nullopt;
}

bool departed_sweep::is_chosen(
    endpoint departed, std::vector<daemon_reach> const& reach) const
{
    std::uint64_t const own = weight(own_, departed);
    return std::all_of(
        reach.begin(),
        reach.end(),
        [&](daemon_reach const& each)
        {
            return each.unreached_ > absl::ZeroDuration() ||
                   weight(each.daemon_, departed) <= own;
        });
}

} // namespace samphire
