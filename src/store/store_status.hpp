#pragma once

#include <cstdint>

namespace samphire
{

/// How a call of the store ended.
enum class store_status : std::uint8_t
{
    done,
    missing,
    /// Another revision is in the store, or the object exists already.
    conflict,
    /// The changes after that revision are no longer known.
    history_gone,
    /// Nothing was done.
    refused,
    /// It may have been done, or may still be.
    unknown,
};

} // namespace samphire
