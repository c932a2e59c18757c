#pragma once

#include "base/fingerprint.hpp"

#include <cstdint>

namespace samphire
{

/// A request that may have crashed an upstream.
struct crash_suspect
{
    fingerprint const fingerprint_{};
    /// Crashes during which the request was in flight.
    std::uint32_t const crashes_{};
    /// True when it ran alone during the last of them, so it is the cause.
    bool const alone_{};

    friend bool
    operator==(crash_suspect const&, crash_suspect const&) = default;
};

} // namespace samphire
