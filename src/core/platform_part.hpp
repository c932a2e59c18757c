#pragma once

#include <cstdint>

namespace samphire
{

/// Part of the decision object that asked for a platform call and takes its
/// result.
enum class platform_part : std::uint8_t
{
    configuration,
    summaries,
    key_bindings,
};

} // namespace samphire
