#pragma once

#include <string>

namespace samphire
{

/// One rule that a policy document breaks.
struct policy_error
{
    /// Path of the field, such as "services[2].routes[0].timeout_ms".
    std::string const field_{};
    /// The refused value as JSON, truncated to 80 bytes; empty when the field
    /// is absent.
    std::string const value_{};
    std::string const rule_{};

    friend bool operator==(policy_error const&, policy_error const&) = default;
};

} // namespace samphire
