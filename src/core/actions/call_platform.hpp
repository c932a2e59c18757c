#pragma once

#include "base/operation_id.hpp"
#include "object_api/platform_request.hpp"

namespace samphire
{

/// Calls the platform. Exactly one platform_replied event follows.
struct call_platform
{
    operation_id const operation_{};
    platform_request const request_{};

    friend bool
    operator==(call_platform const&, call_platform const&) = default;
};

} // namespace samphire
