#pragma once

#include "base/payload.hpp"

#include <cstdint>

namespace samphire
{

/// Complete answer of an upstream, stored for a caller that repeats its
/// request.
struct stored_answer
{
    /// HTTP status of the upstream.
    std::uint16_t const status_{};
    payload const body_{};

    friend bool
    operator==(stored_answer const&, stored_answer const&) = default;
};

} // namespace samphire
