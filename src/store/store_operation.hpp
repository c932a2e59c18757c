#pragma once

#include "forwarding/upstream_record.hpp"
#include "store/store_action.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// One call of the store.
struct store_operation
{
    store_action action_{};
    /// Object that is written.
    std::string name_{};
    /// Revision that the object must have, or after which changes are awaited.
    std::uint64_t revision_{};
    /// Continues a list behind this name.
    std::string after_{};
    /// Data that is seconds old will do, at a tenth of the price.
    bool stale_allowed_{};
    /// Longest wait for a change.
    absl::Duration wait_{};
    upstream_record record_{};

    friend bool
    operator==(store_operation const&, store_operation const&) = default;
};

} // namespace samphire
