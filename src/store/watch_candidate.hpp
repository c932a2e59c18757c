#pragma once

#include "base/endpoint.hpp"

namespace samphire
{

/// Daemon that may watch the policy for its failure domain.
struct watch_candidate
{
    endpoint daemon_{};
    /// Whether the daemon reaches the store, as far as it has noticed.
    bool reaches_store_{true};

    friend bool
    operator==(watch_candidate const&, watch_candidate const&) = default;
};

} // namespace samphire
