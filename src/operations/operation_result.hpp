#pragma once

#include "base/operation_id.hpp"
#include "object_api/platform_result.hpp"

namespace samphire
{

/// Result of one platform call, passed to the thread that waits for it.
struct operation_result
{
    operation_id const operation_{};
    platform_result const result_{};

    friend bool
    operator==(operation_result const&, operation_result const&) = default;
};

} // namespace samphire
