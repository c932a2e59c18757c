#pragma once

#include <cstdint>

namespace samphire
{

/// Tells other daemons that an upstream crashed while it ran the request with
/// the fingerprint `fingerprint_`.
struct crash_notice
{
    std::uint64_t fingerprint_{};
    /// Identifies the crash: hash of the upstream id and of the time at which
    /// the crash was detected.
    std::uint64_t crash_id_{};

    friend bool operator==(crash_notice const&, crash_notice const&) = default;
};

} // namespace samphire
