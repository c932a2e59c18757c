#pragma once

#include <cstdint>

namespace samphire
{

/// Long work, such as uploads and log intake, has its own share of slots so
/// that short work is not blocked behind it.
enum class work_class : std::uint8_t
{
    short_work = 0,
    long_work = 1,
};

} // namespace samphire
