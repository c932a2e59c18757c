#pragma once

#include "base/payload.hpp"

#include <cstdint>

namespace samphire
{

/// Whole answer of an upstream, kept for a caller that asks again.
struct stored_answer
{
    /// HTTP status of the upstream.
    std::uint16_t const status_{};
    payload const body_{};

    friend bool
    operator==(stored_answer const&, stored_answer const&) = default;
};

} // namespace samphire
