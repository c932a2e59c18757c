#pragma once

#include "base/bounded_ring.hpp"
#include "base/wake_event.hpp"
#include "relay/relay_event.hpp"

#include <optional>
#include <utility>

namespace samphire
{

/// Ring of events from the other duties to the traffic duty. The wake event
/// lets the traffic duty wait for events with epoll.
class relay_events
{
public:
    explicit relay_events(std::size_t capacity) : ring_(capacity)
    {
    }

    /// Queues an event. Blocks while the ring is full, which is rare, because
    /// calls to the store are few.
    void push(relay_event event)
    {
        ring_.push(std::move(event));
        wake_.notify();
    }

    std::optional<relay_event> pop()
    {
        return ring_.try_pop();
    }

    void close()
    {
        ring_.close();
    }

    wake_event& wake()
    {
        return wake_;
    }

private:
    bounded_ring<relay_event> ring_;
    wake_event wake_;
};

} // namespace samphire
