#pragma once

#include "base/operation_id.hpp"
#include "object_api/platform_result.hpp"

namespace samphire
{

/// The platform answered a call_platform action, or the call failed.
struct platform_replied
{
    operation_id const operation_{};
    platform_result const result_{};

    friend bool
    operator==(platform_replied const&, platform_replied const&) = default;
};

} // namespace samphire
