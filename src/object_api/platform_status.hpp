#pragma once

#include <cstdint>

namespace samphire
{

enum class platform_status : std::uint8_t
{
    ok,
    /// The platform has no object with this name.
    absent,
    /// The expected version was not the current version of the object; the
    /// result holds the current object.
    conflict,
    /// A watch ended without a change.
    unchanged,
    /// The platform refused the call before it took effect.
    refused,
    /// No answer arrived; a write may have taken effect.
    no_answer,
};

} // namespace samphire
