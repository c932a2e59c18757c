#pragma once

#include "base/payload.hpp"
#include "object_api/object_version.hpp"
#include "object_api/platform_status.hpp"

namespace samphire
{

/// Status of a call to the platform's object API, and the object in the reply
/// if there is one.
struct platform_result
{
    platform_status const status_{};
    object_version const version_{};
    payload const value_{};

    friend bool
    operator==(platform_result const&, platform_result const&) = default;
};

} // namespace samphire
