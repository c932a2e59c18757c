#pragma once

#include "base/random_source.hpp"

namespace samphire
{

/// Returns a number in [0, 1). std::uniform_real_distribution is not used: its
/// numbers differ between standard libraries, but a seed must repeat a run.
inline double uniform_draw(random_source& random)
{
    // A double has a significand of 53 bits.
    constexpr int unused_bits = 11;
    constexpr double value_count = 9007199254740992.0;
    return static_cast<double>(random() >> unused_bits) / value_count;
}

} // namespace samphire
