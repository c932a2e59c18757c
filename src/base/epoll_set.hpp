#pragma once

#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <sys/epoll.h>
#include <vector>

namespace samphire
{

/// An epoll instance, which waits for several file descriptors.
class epoll_set
{
public:
    epoll_set();

    /// Watches `descriptor` for `events`; wait() reports it in `data.fd`.
    void add(int descriptor, std::uint32_t events);
    void modify(int descriptor, std::uint32_t events);
    void remove(int descriptor);

    /// Waits up to `timeout` and returns the ready descriptors, at most 64.
    std::vector<epoll_event> wait(absl::Duration timeout);

private:
    file_descriptor descriptor_;
};

} // namespace samphire
