#pragma once

#include "forwarding/upstream_id.hpp"

#include <cstdint>
#include <utility>

namespace samphire
{

/// Identifies one process of an upstream, which may start again under its id.
/// The start time is compared for equality only: the clock that it was read
/// from may be set back between two starts.
struct upstream_process
{
    upstream_id id_{};
    /// Unix time in milliseconds at which the upstream started.
    std::int64_t start_time_ms_{};

    template <class Hash>
    friend Hash AbslHashValue(Hash state, upstream_process const& process)
    {
        return Hash::combine(
            std::move(state), process.id_, process.start_time_ms_);
    }

    friend bool
    operator==(upstream_process const&, upstream_process const&) = default;
};

} // namespace samphire
