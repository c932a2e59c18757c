#include "operations/platform_calls.hpp"

namespace samphire
{

namespace
{

// Longer than the timeouts of the gateway: 2 s for a call, 15 s for a watch.
constexpr absl::Duration result_timeout = absl::Seconds(20);

} // namespace

platform_calls::platform_calls(endpoint platform)
    : gateway_(platform, max_in_progress, results_),
      thread_("platform", [this] { gateway_.run(); })
{
}

platform_calls::~platform_calls()
{
    results_.close();
    gateway_.stop();
}

platform_result platform_calls::call(platform_request const& request)
{
    last_operation_ = last_operation_.next();
    if (!gateway_.call(last_operation_, request))
        return {.status_ = platform_status::refused};
    return results_.wait_for(last_operation_, result_timeout);
}

} // namespace samphire
