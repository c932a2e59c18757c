#pragma once

#include <cstdint>

namespace samphire
{

/// An upstream went down while it ran the request with this fingerprint.
struct crash_notice
{
    std::uint64_t fingerprint_{};
    /// Tells crashes apart: hash of the upstream and its start.
    std::uint64_t crash_{};

    friend bool operator==(crash_notice const&, crash_notice const&) = default;
};

} // namespace samphire
