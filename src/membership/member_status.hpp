#pragma once

#include <cstdint>

namespace samphire
{

/// Status of a member, ordered so that at equal incarnation and sequence the
/// later status wins.
enum class member_status : std::uint8_t
{
    alive = 0,
    suspect = 1,
    leaving = 2,
    gone = 3,
};

} // namespace samphire
