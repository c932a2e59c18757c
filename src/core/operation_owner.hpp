#pragma once

#include <cstdint>

namespace samphire
{

/// Component of daemon_core that made a platform call and handles the result.
enum class operation_owner : std::uint8_t
{
    configuration,
    summaries,
    key_bindings,
};

} // namespace samphire
