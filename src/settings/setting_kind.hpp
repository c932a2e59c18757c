#pragma once

#include <cstdint>

namespace samphire
{

enum class setting_kind : std::uint8_t
{
    text,
    integer,
    /// A number with an optional fraction, such as 0.2.
    decimal,
    /// Milliseconds.
    duration,
    /// "a.b.c.d:port".
    address,
    /// Addresses separated by commas; may be empty.
    address_list,
    /// "true" or "false".
    toggle,
};

} // namespace samphire
