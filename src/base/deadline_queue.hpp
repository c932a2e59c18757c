#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <optional>
#include <set>
#include <utility>

namespace samphire
{

/// Keys with one deadline each, in order of their deadlines.
template <class Key>
class deadline_queue
{
public:
    /// Sets or replaces the deadline of `key`.
    void set(Key const& key, absl::Time deadline)
    {
        erase(key);
        deadlines_.emplace(key, deadline);
        order_.emplace(deadline, key);
    }

    void erase(Key const& key)
    {
        auto const found = deadlines_.find(key);
        if (found == deadlines_.end())
            return;
        order_.erase({found->second, key});
        deadlines_.erase(found);
    }

    /// Removes and returns the key with the earliest deadline; nothing when
    /// that deadline is after `now`.
    std::optional<Key> pop_due(absl::Time now)
    {
        if (order_.empty() || order_.begin()->first > now)
            return std::nullopt;
        Key const key = order_.begin()->second;
        erase(key);
        return key;
    }

    /// The earliest deadline; infinite when there is none.
    absl::Time next_deadline() const
    {
        return order_.empty() ? absl::InfiniteFuture() : order_.begin()->first;
    }

private:
    absl::flat_hash_map<Key, absl::Time> deadlines_;
    std::set<std::pair<absl::Time, Key>> order_;
};

} // namespace samphire
