#pragma once

#include "object_api/platform_request.hpp"

#include <cstddef>

namespace samphire
{

/// One platform call that a key_binder makes, with the number of its shard.
struct binding_operation
{
    std::size_t const shard_number_{};
    platform_request const request_{};

    friend bool
    operator==(binding_operation const&, binding_operation const&) = default;
};

} // namespace samphire
