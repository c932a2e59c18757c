#pragma once

#include <cstdint>

namespace samphire
{

/// What a record changed in the member table.
enum class merge_outcome : std::uint8_t
{
    /// Known already, older, or no room.
    ignored,
    /// Only the epoch rose.
    refreshed,
    changed,
};

} // namespace samphire
