#pragma once

#include "object_api/platform_request.hpp"

#include <cstddef>

namespace samphire
{

/// Platform request that reads or writes the shard `shard_number_` of the key
/// bindings.
struct binding_operation
{
    std::size_t const shard_number_{};
    platform_request const request_{};

    friend bool
    operator==(binding_operation const&, binding_operation const&) = default;
};

} // namespace samphire
