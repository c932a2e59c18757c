#pragma once

#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace samphire
{

/// Event loop of one duty thread: waits for descriptors with epoll and calls
/// the handler of each descriptor that is ready.
class io_loop
{
public:
    /// Receives the epoll events that occurred on the descriptor.
    using handler = std::function<void(std::uint32_t)>;

    io_loop();

    /// Calls `on_ready` whenever one of `events` occurs on the descriptor;
    /// throws std::system_error when epoll rejects the descriptor.
    void add(int descriptor, std::uint32_t events, handler on_ready);
    void modify(int descriptor, std::uint32_t events);
    /// Removes the descriptor, which must still be open, from the loop.
    void remove(int descriptor);

    /// Waits up to `timeout` and calls the handlers of the ready descriptors.
    void run_once(absl::Duration timeout);

private:
    struct registration
    {
        handler on_ready_;
        std::uint32_t generation_{};
    };

    file_descriptor epoll_;
    std::vector<registration> registrations_;
};

} // namespace samphire
