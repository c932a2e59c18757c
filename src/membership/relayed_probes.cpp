#include "membership/relayed_probes.hpp"

#include <algorithm>

namespace samphire
{

void relayed_probes::add(
    std::uint64_t sequence,
    endpoint requester,
    std::uint64_t requester_sequence)
{
    probes_.push_back({sequence, requester, requester_sequence});
    if (probes_.size() > capacity)
        probes_.pop_front();
}

std::optional<relayed_probes::probe_requester>
relayed_probes::take_requester(std::uint64_t sequence)
{
    auto const found = std::find_if(
        probes_.begin(),
        probes_.end(),
        [&](relayed_probe const& e) { return e.sequence_ == sequence; });
    if (found == probes_.end())
        return std::nullopt;
    probe_requester const result{found->requester_, found->requester_sequence_};
    probes_.erase(found);
    return result;
}

} // namespace samphire
