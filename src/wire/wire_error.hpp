#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Reasons why bytes from another daemon are dropped.
enum class wire_error : std::uint8_t
{
    too_short,
    too_long,
    wrong_version,
    not_authentic,
    malformed,
};

std::string_view wire_error_text(wire_error error);

} // namespace samphire
