#include "membership/relayed_probes.hpp"

#include <algorithm>

namespace samphire
{

void relayed_probes::add(
    std::uint64_t sequence,
    endpoint requester,
    std::uint64_t requester_sequence)
{
    entries_.push_back({sequence, requester, requester_sequence});
    if (entries_.size() > capacity)
        entries_.pop_front();
}

std::optional<relayed_probes::relay>
relayed_probes::extract(std::uint64_t sequence)
{
    auto const found = std::find_if(
        entries_.begin(),
        entries_.end(),
        [&](entry const& e) { return e.sequence_ == sequence; });
    if (found == entries_.end())
        return std::nullopt;
    relay const result{found->requester_, found->requester_sequence_};
    entries_.erase(found);
    return result;
}

} // namespace samphire
