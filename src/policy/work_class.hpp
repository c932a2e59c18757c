#pragma once

#include <cstdint>

namespace samphire
{

/// Work class of a route. Long work, such as uploads and log intake, has its
/// own share of the slots, so that short work does not wait behind it.
enum class work_class : std::uint8_t
{
    short_work = 0,
    long_work = 1,
};

} // namespace samphire
