#pragma once

#include <cstdint>

namespace samphire
{

/// Status of a member. The values are ordered: of two records with equal
/// incarnation and sequence, the one with the higher value is kept.
enum class member_status : std::uint8_t
{
    alive = 0,
    suspect = 1,
    leaving = 2,
    gone = 3,
};

} // namespace samphire
