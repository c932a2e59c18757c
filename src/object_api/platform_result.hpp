#pragma once

#include "base/payload.hpp"
#include "object_api/object_version.hpp"
#include "object_api/platform_status.hpp"

namespace samphire
{

/// Outcome of one call to the platform.
struct platform_result
{
    platform_status const status_{};
    object_version const version_{};
    payload const value_{};

    friend bool
    operator==(platform_result const&, platform_result const&) = default;
};

} // namespace samphire
