#pragma once

#include <cstdint>

namespace samphire
{

/// States who sent a call to this daemon.
enum class call_source : std::uint8_t
{
    caller,
    upstream,
};

} // namespace samphire
