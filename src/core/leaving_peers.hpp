#pragma once

#include "base/endpoint.hpp"
#include "base/incarnation.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <utility>

namespace samphire
{

/// Excludes guards that refused a request because they are leaving. Such a
/// guard is not chosen again while membership or the policy document spreads
/// the information that it leaves. A daemon that was restarted at the same
/// address counts as another guard.
class leaving_peers
{
public:
    void add(endpoint peer, incarnation number, absl::Time now)
    {
        if (excluded_until_.size() >= capacity)
            absl::erase_if(
                excluded_until_,
                [&](auto const& entry) { return entry.second <= now; });
        if (excluded_until_.size() < capacity)
            excluded_until_.insert_or_assign(
                guard_key(peer, number), now + exclusion_duration);
    }

    bool contains(endpoint peer, incarnation number, absl::Time now) const
    {
        auto const found = excluded_until_.find(guard_key(peer, number));
        return found != excluded_until_.end() && found->second > now;
    }

private:
    using guard_key = std::pair<endpoint, incarnation>;

    static constexpr std::size_t capacity = 1024;
    // Time for which a guard that refused a request is not chosen. A policy
    // document is in force everywhere within 15 s. A guard that the document no
    // longer lists as leaving can be chosen again once this time has passed.
    static constexpr absl::Duration exclusion_duration = absl::Seconds(10);

    absl::flat_hash_map<guard_key, absl::Time> excluded_until_;
};

} // namespace samphire
