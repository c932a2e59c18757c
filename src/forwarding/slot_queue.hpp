#pragma once

#include "forwarding/dispatch_rank.hpp"
#include "forwarding/messages/execution_key.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace samphire
{

/// Queue of the requests that wait for a slot of the upstream, the most urgent
/// first.
class slot_queue
{
public:
    void push(dispatch_rank rank, execution_key key)
    {
        waiting_keys_by_rank_.emplace(rank, key);
        ++waiting_counts_by_priority_[rank.priority_];
    }

    void erase(dispatch_rank rank)
    {
        if (waiting_keys_by_rank_.erase(rank) > 0)
            --waiting_counts_by_priority_[rank.priority_];
    }

    std::optional<execution_key> front() const
    {
        if (waiting_keys_by_rank_.empty())
            return std::nullopt;
        return waiting_keys_by_rank_.begin()->second;
    }

    /// Returns the key of the least urgent request; among equally urgent
    /// requests, the key of the request that arrived last.
    std::optional<execution_key> back() const
    {
        if (waiting_keys_by_rank_.empty())
            return std::nullopt;
        return waiting_keys_by_rank_.rbegin()->second;
    }

    std::size_t size() const
    {
        return waiting_keys_by_rank_.size();
    }

    /// Returns the number of waiting requests that get a slot before a new
    /// request of `priority`.
    std::size_t requests_ahead_of(std::int32_t priority) const
    {
        std::size_t total = 0;
        for (auto const& [level, count] : waiting_counts_by_priority_)
            total += level <= priority ? count : 0;
        return total;
    }

private:
    std::map<dispatch_rank, execution_key> waiting_keys_by_rank_;
    /// Number of waiting requests, by priority.
    std::map<std::int32_t, std::size_t> waiting_counts_by_priority_;
};

} // namespace samphire
