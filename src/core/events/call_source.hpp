#pragma once

#include <cstdint>

namespace samphire
{

/// Who sent a call to this daemon.
enum class call_source : std::uint8_t
{
    caller,
    upstream,
};

} // namespace samphire
