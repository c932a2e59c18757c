#pragma once

#include <cstdint>

namespace samphire
{

enum class platform_method : std::uint8_t
{
    get,
    /// Conditional update: succeeds only at the stated version.
    put_if,
    /// Waits until the version differs from the stated version.
    watch,
};

} // namespace samphire
