#include "operations/blocking_platform_client.hpp"

namespace samphire
{

namespace
{

// Longer than the timeouts of the gateway: 2 s for a call, 15 s for a watch.
constexpr absl::Duration result_timeout = absl::Seconds(20);

} // namespace

blocking_platform_client::blocking_platform_client(endpoint platform)
    : gateway_(platform, max_in_progress, results_),
      thread_("platform", [this] { gateway_.run(); })
{
}

blocking_platform_client::~blocking_platform_client()
{
    results_.close();
    gateway_.stop();
}

platform_result blocking_platform_client::call(platform_request const& request)
{
    last_operation_ = last_operation_.next();
    if (!gateway_.call(last_operation_, request))
        return {.status_ = platform_status::refused};
    return results_.wait_for(last_operation_, result_timeout);
}

} // namespace samphire
