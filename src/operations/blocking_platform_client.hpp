#pragma once

#include "base/duty_thread.hpp"
#include "base/operation_id.hpp"
#include "object_api/platform_gateway.hpp"
#include "operations/platform_results.hpp"

namespace samphire
{

/// Blocking client of the platform's object API. The transfers run on a thread
/// of its own, "platform"; only one thread may call call().
class blocking_platform_client
{
public:
    explicit blocking_platform_client(endpoint platform);
    ~blocking_platform_client();

    platform_result call(platform_request const& request);

private:
    static constexpr std::size_t max_in_progress = 8;

    operation_id last_operation_{};
    platform_results results_{max_in_progress};
    platform_gateway<platform_results> gateway_;
    duty_thread thread_;
};

} // namespace samphire
