#pragma once

#include "forwarding/upstream_record.hpp"
#include "store/store_action.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// Action and arguments of one call to the store.
struct store_operation
{
    store_action action_{};
    /// Name of the object to read, write or remove.
    std::string name_{};
    /// For a write or removal, the revision that the object must have; for a
    /// watch, the revision after which a change of the policy is awaited.
    std::uint64_t revision_{};
    /// For a list of upstreams, the name of the object after which the list
    /// continues; empty to start at the beginning.
    std::string continue_after_name_{};
    /// Whether what is read may be a few seconds old; such a call costs a tenth
    /// as much.
    bool stale_allowed_{};
    /// Whether the call must not use a connection that is already open, since
    /// an earlier call was lost.
    bool fresh_connection_{};
    /// Maximum time that a watch waits for a change of the policy.
    absl::Duration max_watch_duration_{};
    /// Record that is written to the object.
    upstream_record record_{};

    friend bool
    operator==(store_operation const&, store_operation const&) = default;
};

} // namespace samphire
