#pragma once

#include <cstdint>

namespace samphire
{

/// Asks a daemon for the operators' policy that it uses.
struct policy_request
{
    /// Version that the sender uses; 0 for none.
    std::uint64_t known_version_{};

    friend bool
    operator==(policy_request const&, policy_request const&) = default;
};

} // namespace samphire
