#pragma once

#include <cstdint>

namespace samphire
{

/// Effect of a merged record on the member table.
enum class merge_outcome : std::uint8_t
{
    /// The record was already known or older, or the table is full.
    ignored,
    /// Only the epoch increased.
    refreshed,
    changed,
};

} // namespace samphire
