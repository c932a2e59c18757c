#pragma once

#include "base/endpoint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire
{

/// Guards that refused a request since they are leaving. They are not chosen
/// again while the news spreads through membership or the policy document.
class leaving_peers
{
public:
    void add(endpoint peer, absl::Time now)
    {
        if (until_.size() >= capacity)
            absl::erase_if(
                until_, [&](auto const& entry) { return entry.second <= now; });
        if (until_.size() < capacity)
            until_.insert_or_assign(peer, now + validity);
    }

    /// Adds the guards to the others that must not be chosen.
    std::vector<endpoint>
    excluded(std::vector<endpoint> others, absl::Time now) const
    {
        for (auto const& [peer, until] : until_)
        {
            if (until > now)
                others.push_back(peer);
        }
        return others;
    }

private:
    static constexpr std::size_t capacity = 1024;
    // A policy document is in force everywhere within 15 s; a guard that was
    // taken off its list is chosen again after this.
    static constexpr absl::Duration validity = absl::Seconds(10);

    absl::flat_hash_map<endpoint, absl::Time> until_;
};

} // namespace samphire
