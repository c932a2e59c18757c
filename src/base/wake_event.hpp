#pragma once

#include "base/file_descriptor.hpp"

#include <atomic>

namespace samphire
{

/// Wakes a thread that waits in poll or epoll (an eventfd).
class wake_event
{
public:
    wake_event();

    int descriptor() const
    {
        return descriptor_.get();
    }

    /// Makes the descriptor readable. Any thread may call it, after it has put
    /// its value into the queue of the waiting thread. Makes no system call
    /// while an earlier notification has not been cleared.
    void notify();

    /// Makes the descriptor unreadable again. The woken thread calls it before
    /// it looks into its queue, so that no notification is lost.
    void clear();

private:
    file_descriptor descriptor_;
    std::atomic<bool> notified_{};
};

} // namespace samphire
