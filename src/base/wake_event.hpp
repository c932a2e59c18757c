#pragma once

#include "base/file_descriptor.hpp"

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

    /// Makes the descriptor readable. Any thread may call it.
    void notify();

    /// Makes the descriptor unreadable again.
    void clear();

private:
    file_descriptor descriptor_;
};

} // namespace samphire
