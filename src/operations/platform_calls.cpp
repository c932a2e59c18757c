#include "operations/platform_calls.hpp"

namespace samphire
{

namespace
{

// The gateway ends each call by itself after 2 s, and a watch after 15 s.
constexpr absl::Duration result_timeout = absl::Seconds(20);

} // namespace

platform_calls::platform_calls(endpoint platform)
    : gateway_(platform, capacity, results_),
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
    last_ = last_.next();
    if (!gateway_.call(last_, request))
        return {.status_ = platform_status::refused};
    return results_.wait(last_, result_timeout);
}

} // namespace samphire
