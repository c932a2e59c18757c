#pragma once

#include "console/route_form.hpp"
#include "object_api/object_version.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Holds all fields of the policy form as the operator typed them, so a value
/// may be one that a policy document must not contain.
struct policy_form
{
    /// Version of the policy object that the form was made from.
    object_version const base_version_{};
    std::string const revision_{};
    std::string const extra_attempts_{};
    std::string const service_percent_{};
    /// Names of the services in the document that the form was made from.
    std::vector<std::string> const services_{};
    std::vector<route_form> const routes_{};
    /// Names of the leaving daemons, separated by white space.
    std::string const leaving_{};

    friend bool operator==(policy_form const&, policy_form const&) = default;
};

} // namespace samphire
