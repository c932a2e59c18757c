#pragma once

#include <cstdint>

namespace samphire
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

} // namespace samphire
