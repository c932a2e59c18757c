#pragma once

#include "daemon/event_ring.hpp"
#include "object_api/platform_result.hpp"

namespace samphire
{

/// Queues the results of platform calls as events.
class platform_result_events
{
public:
    explicit platform_result_events(event_ring& events) : events_(events)
    {
    }

    void
    on_platform_result(operation_id operation, platform_result const& result)
    {
        events_.push(platform_replied{operation, result});
    }

private:
    event_ring& events_;
};

} // namespace samphire
