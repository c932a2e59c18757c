#pragma once

#include <cstdint>

namespace samphire
{

/// How a call to the store ended.
enum class store_status : std::uint8_t
{
    done,
    missing,
    /// The object has another revision than the call requires, or the object to
    /// create exists already.
    conflict,
    /// The store no longer has the changes after the requested revision.
    history_gone,
    /// The call failed and had no effect.
    refused,
    /// The call may have taken effect, or may still take effect.
    unknown,
};

} // namespace samphire
