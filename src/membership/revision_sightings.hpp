#pragma once

#include "base/endpoint.hpp"
#include "base/revision.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace samphire
{

/// The highest policy revision that a member reported, and who did.
class revision_sightings
{
public:
    void note(endpoint from, revision reported)
    {
        if (reported < highest_ || reported.empty())
            return;
        highest_ = reported;
        holder_ = from;
    }

    /// Forgets the holder after it did not give the document; the next report
    /// names another one.
    void forget(endpoint holder)
    {
        if (holder_ != holder)
            return;
        highest_ = {};
        holder_ = {};
    }

    std::optional<endpoint> holder_above(revision held) const
    {
        if (highest_ <= held)
            return std::nullopt;
        return holder_;
    }

private:
    revision highest_{};
    endpoint holder_{};
};

} // namespace samphire
