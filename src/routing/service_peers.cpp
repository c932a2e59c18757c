#include "routing/service_peers.hpp"

#include <algorithm>
#include <vector>

namespace samphire
{

namespace
{

// Peers that are found within this period after the first peer of the service
// were running before and are not cold.
constexpr absl::Duration discovery_period = absl::Seconds(5);

} // namespace

peer_load&
service_peers::find_or_add(peer_candidate const& candidate, absl::Time now)
{
    first_peer_seen_at_ = std::min(first_peer_seen_at_, now);
    auto const found = peers_.find(candidate.endpoint_);
    bool const replaced =
        found != peers_.end() &&
        found->second->peer_incarnation() < candidate.incarnation_;
    if (found != peers_.end() && !replaced)
        return *found->second;
    bool const starts_cold =
        replaced || now - first_peer_seen_at_ > discovery_period;
    auto added = std::make_unique<peer_load>(
        candidate.incarnation_,
        candidate.is_in_local_domain_,
        starts_cold ? now : absl::InfinitePast());
    peer_load& result = *added;
    peers_.insert_or_assign(candidate.endpoint_, std::move(added));
    return result;
}

peer_load* service_peers::find(endpoint peer)
{
    auto const found = peers_.find(peer);
    return found == peers_.end() ? nullptr : found->second.get();
}

void service_peers::remove_non_candidates(
    std::span<peer_candidate const> candidates)
{
    if (peers_.size() <= candidates.size())
        return;
    absl::erase_if(
        peers_,
        [&](auto const& entry)
        {
            bool const listed = std::any_of(
                candidates.begin(),
                candidates.end(),
                [&](peer_candidate const& candidate)
                { return candidate.endpoint_ == entry.first; });
            return !listed && entry.second->in_flight() == 0;
        });
}

absl::Duration service_peers::median_latency() const
{
    std::vector<absl::Duration> latencies;
    for (auto const& [peer, load] : peers_)
    {
        // Unresponsive peers are not counted. If most peers of a service were
        // cut off, they would raise the median and hide the stragglers among
        // the others.
        if (!load->latency().empty() && !load->is_unresponsive())
            latencies.push_back(load->latency().median());
    }
    if (latencies.empty())
        return absl::ZeroDuration();
    // For an even count, uses the lower of the two middle values: with two
    // peers the latency of the faster one.
    auto const middle = latencies.begin() +
                        static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

} // namespace samphire
