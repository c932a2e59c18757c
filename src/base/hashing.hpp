#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// 64-bit xxHash; the same on every machine and in every process.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

} // namespace samphire
