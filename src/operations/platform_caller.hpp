#pragma once

#include "object_api/platform_request.hpp"
#include "object_api/platform_result.hpp"

#include <concepts>

namespace samphire
{

/// Makes one call to the platform and waits for its result.
template <class T>
concept platform_caller = requires(T platform, platform_request const& request)
{
    {
        platform.call(request)
        } -> std::same_as<platform_result>;
};

} // namespace samphire
