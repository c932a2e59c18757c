#pragma once

#include "base/payload.hpp"
#include "object_api/object_name.hpp"
#include "object_api/object_version.hpp"
#include "object_api/platform_method.hpp"

namespace samphire
{

/// Method, object and arguments of a call to the platform's object API.
struct platform_request
{
    platform_method const method_{};
    object_name const name_{};
    /// Expected version of the object for put_if, last known version for watch,
    /// zero for get.
    object_version const version_{};
    /// New value for put_if, at most 1 MB.
    payload const value_{};

    friend bool
    operator==(platform_request const&, platform_request const&) = default;
};

} // namespace samphire
