#include "membership/rendezvous_ranking.hpp"

#include "base/hashing.hpp"

#include <algorithm>

namespace samphire
{

rendezvous_ranking::rendezvous_ranking(std::string_view duty)
    : seed_(stable_hash(duty))
{
}

void rendezvous_ranking::add(daemon_id const& daemon, endpoint address)
{
    ranked_.emplace_back(stable_hash(daemon.value(), seed_), address);
}

std::vector<endpoint> rendezvous_ranking::first(std::size_t count)
{
    std::size_t const taken = std::min(count, ranked_.size());
    std::partial_sort(
        ranked_.begin(),
        ranked_.begin() + static_cast<std::ptrdiff_t>(taken),
        ranked_.end(),
        std::greater<>());
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < taken; ++i)
        result.push_back(ranked_[i].second);
    return result;
}

} // namespace samphire
