#pragma once

#include <cstdint>
#include <random>

namespace samphire
{

/// Seeded generator of all random numbers that decisions use, so that a run can
/// be repeated from its seed.
using random_source = std::mt19937_64;

} // namespace samphire
