#pragma once

#include "base/endpoint.hpp"
#include "base/revision.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace samphire
{

/// The highest policy revision that a member reported, and that member.
class highest_reported_revision
{
public:
    void record(endpoint from, revision reported)
    {
        if (reported < highest_ || reported.empty())
            return;
        highest_ = reported;
        holder_ = from;
    }

    /// Drops the holder when it did not send the policy document; the next
    /// report sets a new one.
    void forget(endpoint holder)
    {
        if (holder_ != holder)
            return;
        highest_ = {};
        holder_ = {};
    }

    std::optional<endpoint> holder_above(revision threshold) const
    {
        if (highest_ <= threshold)
            return std::nullopt;
        return holder_;
    }

private:
    revision highest_{};
    endpoint holder_{};
};

} // namespace samphire
