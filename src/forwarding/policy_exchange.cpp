#include "forwarding/policy_exchange.hpp"

#include "base/uniform_draw.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphire
{

void policy_exchange::on_peer_version(
    endpoint daemon, std::uint64_t version, bool is_near, absl::Time now)
{
    if (version <= own_version_)
    {
        forget(daemon);
        return;
    }
    newer_versions_[daemon] = {version, is_near};
    if (request_due_ != absl::InfiniteFuture())
        return;
    // A daemon without a policy refuses all requests, so it does not wait.
    request_due_ = own_version_ == 0
                       ? now
                       : now + store_head_start +
                             max_request_jitter * uniform_draw(random_);
}

void policy_exchange::on_peer_lost(endpoint daemon)
{
    forget(daemon);
}

void policy_exchange::forget(endpoint daemon)
{
    newer_versions_.erase(daemon);
    if (newer_versions_.empty())
        request_due_ = absl::InfiniteFuture();
}

void policy_exchange::on_own_version(std::uint64_t version)
{
    own_version_ = version;
    absl::erase_if(
        newer_versions_,
        [&](auto const& entry) { return entry.second.version_ <= version; });
    if (newer_versions_.empty())
        request_due_ = absl::InfiniteFuture();
}

std::optional<endpoint> policy_exchange::next_daemon_to_ask(absl::Time now)
{
    if (now < request_due_)
        return std::nullopt;
    // A near daemon is preferred among those with the newest version, since
    // traffic between failure domains costs money.
    std::pair<std::uint64_t, bool> best;
    for (auto const& [daemon, announced] : newer_versions_)
        best = std::max(best, {announced.version_, announced.is_near_});
    std::vector<endpoint> candidates;
    std::size_t newest_count = 0;
    for (auto const& [daemon, announced] : newer_versions_)
    {
        newest_count += announced.version_ == best.first ? 1 : 0;
        if (std::pair(announced.version_, announced.is_near_) == best)
            candidates.push_back(daemon);
    }
    if (candidates.empty())
    {
        request_due_ = absl::InfiniteFuture();
        return std::nullopt;
    }
    // The order of the map differs between processes; a seed must repeat a run.
    std::sort(candidates.begin(), candidates.end());
    endpoint const chosen = candidates[random_() % candidates.size()];
    request_due_ = now + answer_timeout;
    if (newest_count > 1)
        newer_versions_.erase(chosen);
    return chosen;
}

} // namespace samphire
