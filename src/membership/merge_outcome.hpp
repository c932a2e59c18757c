#pragma once

#include <cstdint>

namespace samphire
{

/// Effect of a merged record on the member table.
enum class merge_outcome : std::uint8_t
{
    /// The record was already known or older, or the table is full.
    ignored,
    /// Only the ticket epoch of the record increased.
    refreshed,
    /// The record was added, or replaced an older one.
    changed,
};

} // namespace samphire
