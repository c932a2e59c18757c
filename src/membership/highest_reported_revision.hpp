#pragma once

#include "base/endpoint.hpp"
#include "base/revision.hpp"

#include <absl/container/flat_hash_map.h>

#include <optional>

namespace samphire
{

/// Records the highest policy revision that a member reported, and the address
/// of that member.
class highest_reported_revision
{
public:
    void record(endpoint from, revision reported)
    {
        if (reported < highest_revision_ || reported.empty())
            return;
        highest_revision_ = reported;
        reporter_ = from;
    }

    /// Drops the highest revision if `reporter` reported that revision, because
    /// `reporter` did not send the policy document. The next report of a
    /// revision replaces both.
    void forget_reporter(endpoint reporter)
    {
        if (reporter_ != reporter)
            return;
        highest_revision_ = {};
        reporter_ = {};
    }

    /// Returns the address of the member that reported the highest revision;
    /// nullopt when that revision is not above `threshold`.
    std::optional<endpoint> reporter_above(revision threshold) const
    {
        if (highest_revision_ <= threshold)
            return std::nullopt;
        return reporter_;
    }

private:
    revision highest_revision_{};
    endpoint reporter_{};
};

} // namespace samphire
