#include "store/watch_election.hpp"

#include "base/hashing.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphire
{

namespace
{

/// Rank of a daemon; lower ranks watch first. Hashed, so that the duty does not
/// fall to the first machines of each rack.
std::pair<std::uint64_t, endpoint> rank_of(endpoint daemon)
{
    return {stable_hash(daemon.text()), daemon};
}

} // namespace

bool watch_election::is_watcher(
    watch_candidate const& self, std::vector<watch_candidate> const& others)
{
    // Daemons that reach the store come first.
    auto const order_of = [](watch_candidate const& candidate)
    {
        return std::pair(!candidate.reaches_store_, rank_of(candidate.daemon_));
    };
    auto const own_order = order_of(self);
    auto const before_self = std::count_if(
        others.begin(),
        others.end(),
        [&](watch_candidate const& other)
        { return order_of(other) < own_order; });
    auto const without_store = std::count_if(
        others.begin(),
        others.end(),
        [](watch_candidate const& other) { return !other.reaches_store_; });
    std::size_t const spare_watchers =
        self.reaches_store_
            ? std::min(
                  static_cast<std::size_t>(without_store), max_spare_watchers)
            : 0;
    return static_cast<std::size_t>(before_self) <
           watchers_per_domain + spare_watchers;
}

} // namespace samphire
