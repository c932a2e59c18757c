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
    endpoint daemon, std::vector<endpoint> const& others)
{
    auto const own_rank = rank_of(daemon);
    auto const lower_ranks = std::count_if(
        others.begin(),
        others.end(),
        [&](endpoint other) { return rank_of(other) < own_rank; });
    return static_cast<std::size_t>(lower_ranks) < watchers_per_domain;
}

} // namespace samphire
