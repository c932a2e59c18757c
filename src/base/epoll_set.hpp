#pragma once

#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <sys/epoll.h>
#include <vector>

namespace samphire
{

/// Waits for several file descriptors.
class epoll_set
{
public:
    epoll_set();

    /// Watches `descriptor` for `events`; wait() returns its number.
    void add(int descriptor, std::uint32_t events);
    void modify(int descriptor, std::uint32_t events);
    void remove(int descriptor);

    /// Waits up to `timeout` and returns what is ready, at most 64 entries.
    std::vector<epoll_event> wait(absl::Duration timeout);

private:
    file_descriptor descriptor_;
};

} // namespace samphire
