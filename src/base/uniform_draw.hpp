#pragma once

#include "base/random_source.hpp"

namespace samphire
{

/// A number from 0 up to, but not, 1. The library's own distribution differs
/// from one library to another, and a seed is to repeat a run.
inline double uniform_draw(random_source& random)
{
    // A double holds 53 bits.
    constexpr int unused_bits = 11;
    constexpr double values = 9007199254740992.0;
    return static_cast<double>(random() >> unused_bits) / values;
}

} // namespace samphire
