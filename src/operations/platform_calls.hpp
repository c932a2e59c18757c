#pragma once

#include "base/duty_thread.hpp"
#include "base/operation_id.hpp"
#include "object_api/platform_gateway.hpp"
#include "operations/platform_results.hpp"

namespace samphire
{

/// Calls the platform for a program that waits for each result. The calls run
/// on a thread of their own, "platform"; call() is for one thread.
class platform_calls
{
public:
    explicit platform_calls(endpoint platform);
    ~platform_calls();

    platform_result call(platform_request const& request);

private:
    static constexpr std::size_t capacity = 8;

    operation_id last_{};
    platform_results results_{capacity};
    platform_gateway<platform_results> gateway_;
    duty_thread thread_;
};

} // namespace samphire
