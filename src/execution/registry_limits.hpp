#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Memory limits and epoch duration of an execution_registry.
struct registry_limits
{
    std::size_t const max_records_{65536};
    /// Maximum total size of the bodies of all stored answers.
    std::size_t const max_answer_bytes_{8u << 20};
    absl::Duration const epoch_duration_{absl::Seconds(60)};

    friend bool
    operator==(registry_limits const&, registry_limits const&) = default;
};

} // namespace samphire
