#pragma once

#include "base/operation_id.hpp"
#include "platform/platform_request.hpp"

namespace samphire
{

/// A platform call that a key_binder needs.
struct binding_operation
{
    operation_id const operation_{};
    platform_request const request_{};

    friend bool
    operator==(binding_operation const&, binding_operation const&) = default;
};

} // namespace samphire
