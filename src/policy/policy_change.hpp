#pragma once

#include <string>

namespace samphire
{

/// One field that differs between two policy documents.
struct policy_change
{
    /// Path with names as indexes, such as
    /// "services[slots].routes[list].importance".
    std::string const field_{};
    /// Empty when the older document does not have the field.
    std::string const old_value_{};
    /// Empty when the newer document does not have the field.
    std::string const new_value_{};

    friend bool
    operator==(policy_change const&, policy_change const&) = default;
};

} // namespace samphire
