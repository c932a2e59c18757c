#include "routing/service_peers.hpp"

#include <algorithm>
#include <vector>

namespace samphire
{

namespace
{

// Peers that a starting daemon learns of within this time were there before.
constexpr absl::Duration discovery_time = absl::Seconds(5);

} // namespace

peer_load& service_peers::find(peer_candidate const& candidate, absl::Time now)
{
    first_seen_ = std::min(first_seen_, now);
    auto const found = peers_.find(candidate.endpoint_);
    bool const replaced =
        found != peers_.end() && found->second->life() < candidate.incarnation_;
    if (found != peers_.end() && !replaced)
        return *found->second;
    bool const cold = replaced || now - first_seen_ > discovery_time;
    auto added = std::make_unique<peer_load>(
        candidate.incarnation_,
        candidate.local_domain_,
        cold ? now : absl::InfinitePast());
    peer_load& result = *added;
    peers_.insert_or_assign(candidate.endpoint_, std::move(added));
    return result;
}

peer_load* service_peers::find(endpoint peer)
{
    auto const found = peers_.find(peer);
    return found == peers_.end() ? nullptr : found->second.get();
}

void service_peers::keep_only(std::span<peer_candidate const> candidates)
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
    std::vector<absl::Duration> known;
    for (auto const& [peer, load] : peers_)
    {
        // With most of its peers cut off, a service would look slow as a whole
        // and hide its stragglers.
        if (!load->latency().empty() && !load->unresponsive())
            known.push_back(load->latency().median());
    }
    if (known.empty())
        return absl::ZeroDuration();
    // The lower middle of an even number: with two peers the faster one.
    auto const middle =
        known.begin() + static_cast<std::ptrdiff_t>((known.size() - 1) / 2);
    std::nth_element(known.begin(), middle, known.end());
    return *middle;
}

} // namespace samphire
