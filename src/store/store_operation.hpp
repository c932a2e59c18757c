#pragma once

#include "forwarding/upstream_record.hpp"
#include "store/store_action.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// One call to the store.
struct store_operation
{
    store_action action_{};
    /// Name of the object to write or remove.
    std::string name_{};
    /// Revision that the object must have, or after which a change is awaited.
    std::uint64_t revision_{};
    /// Name after which a list continues; empty to start at the beginning.
    std::string after_name_{};
    /// Permits data that is a few seconds old, which costs a tenth as much.
    bool stale_allowed_{};
    /// Maximum wait for a change.
    absl::Duration max_wait_{};
    upstream_record record_{};

    friend bool
    operator==(store_operation const&, store_operation const&) = default;
};

} // namespace samphire
