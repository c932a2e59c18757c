#pragma once

#include "base/fingerprint.hpp"

#include <cstdint>

namespace samphire
{

/// A request that may have crashed an upstream.
struct crash_suspect
{
    fingerprint const fingerprint_{};
    /// Number of crashes during which the request was in flight.
    std::uint32_t const crashes_{};
    /// True when the request ran alone during the last of these crashes, so
    /// that the request caused that crash.
    bool const ran_alone_{};

    friend bool
    operator==(crash_suspect const&, crash_suspect const&) = default;
};

} // namespace samphire
