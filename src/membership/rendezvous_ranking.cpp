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
    weighted_addresses_.emplace_back(
        stable_hash(daemon.value(), seed_), address);
}

std::vector<endpoint> rendezvous_ranking::first(std::size_t count)
{
    std::size_t const selected = std::min(count, weighted_addresses_.size());
    std::partial_sort(
        weighted_addresses_.begin(),
        weighted_addresses_.begin() + static_cast<std::ptrdiff_t>(selected),
        weighted_addresses_.end(),
        std::greater<>());
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < selected; ++i)
        result.push_back(weighted_addresses_[i].second);
    return result;
}

} // namespace samphire
