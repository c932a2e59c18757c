#pragma once

#include "base/endpoint.hpp"
#include "base/incarnation.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <utility>

namespace samphire
{

/// Guards that refused a request since they are leaving. They are not chosen
/// again while the news spreads through membership or the policy document. A
/// daemon that was started again at the same address is another guard.
class leaving_peers
{
public:
    void add(endpoint peer, incarnation number, absl::Time now)
    {
        if (until_.size() >= capacity)
            absl::erase_if(
                until_, [&](auto const& entry) { return entry.second <= now; });
        if (until_.size() < capacity)
            until_.insert_or_assign(guard_key(peer, number), now + validity);
    }

    bool contains(endpoint peer, incarnation number, absl::Time now) const
    {
        auto const found = until_.find(guard_key(peer, number));
        return found != until_.end() && found->second > now;
    }

private:
    using guard_key = std::pair<endpoint, incarnation>;

    static constexpr std::size_t capacity = 1024;
    // A policy document is in force everywhere within 15 s; a guard that was
    // taken off its list is chosen again after this.
    static constexpr absl::Duration validity = absl::Seconds(10);

    absl::flat_hash_map<guard_key, absl::Time> until_;
};

} // namespace samphire
