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
    addresses_by_hash_.emplace_back(
        stable_hash(daemon.value(), seed_), address);
}

std::vector<endpoint> rendezvous_ranking::highest_ranked(std::size_t count)
{
    std::size_t const selected = std::min(count, addresses_by_hash_.size());
    std::partial_sort(
        addresses_by_hash_.begin(),
        addresses_by_hash_.begin() + static_cast<std::ptrdiff_t>(selected),
        addresses_by_hash_.end(),
        std::greater<>());
    std::vector<endpoint> result;
    for (std::size_t i = 0; i < selected; ++i)
        result.push_back(addresses_by_hash_[i].second);
    return result;
}

} // namespace samphire
