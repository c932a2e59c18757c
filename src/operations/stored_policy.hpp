#pragma once

#include "object_api/object_version.hpp"
#include "policy/policy_document.hpp"

#include <string>

namespace samphire
{

/// The policy object as stored on the platform. Without an object the version
/// is zero, the text empty and the document the default one. The document is
/// also the default one when the text is not valid.
struct stored_policy
{
    object_version const version_{};
    std::string const text_{};
    policy_document const document_{};

    friend bool
    operator==(stored_policy const&, stored_policy const&) = default;
};

} // namespace samphire
