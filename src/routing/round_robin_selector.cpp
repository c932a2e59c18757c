#include "routing/round_robin_selector.hpp"

#include <algorithm>

namespace samphire
{

static_assert(peer_selector<round_robin_selector>);

std::optional<std::size_t> round_robin_selector::select(
    service_name const& service,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source&,
    absl::Time)
{
    std::size_t& next_index = next_index_by_service_[service];
    for (std::size_t tried = 0; tried < candidates.size(); ++tried)
    {
        std::size_t const index = next_index++ % candidates.size();
        endpoint const peer = candidates[index].endpoint_;
        if (std::find(excluded.begin(), excluded.end(), peer) == excluded.end())
            return index;
    }
    return std::nullopt;
}

void round_robin_selector::on_call_sent(
    service_name const&, endpoint, absl::Time)
{
}

void round_robin_selector::on_call_finished(
    service_name const&, endpoint, call_outcome, absl::Duration, absl::Time)
{
}

absl::Duration
round_robin_selector::hedge_delay(service_name const&, absl::Time)
{
    return absl::InfiniteDuration();
}

bool round_robin_selector::try_take_hedge(service_name const&, absl::Time)
{
    return false;
}

} // namespace samphire
