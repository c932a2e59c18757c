#pragma once

#include "base/file_descriptor.hpp"
#include "relay/descriptor_role.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <utility>
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

    /// Receives an error that a handler has thrown.
    using error_handler = std::function<void(std::exception const&)>;

    io_loop();

    /// Sets the function that is told of errors in handlers. An error ends at
    /// most the connection whose handler has thrown it, so that one unexpected
    /// message does not end the process.
    void set_error_handler(error_handler on_error)
    {
        on_error_ = std::move(on_error);
    }

    /// Calls `on_ready` whenever one of `events` occurs on the descriptor;
    /// throws std::system_error when epoll rejects the descriptor.
    void
    add(int descriptor,
        std::uint32_t events,
        handler on_ready,
        descriptor_role role = descriptor_role::connection);
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
        descriptor_role role_{descriptor_role::connection};
        /// Whether the handler has thrown an error.
        bool has_failed_{};
    };

    void call_handler(std::uint32_t index, std::uint32_t events);
    void on_handler_error(std::uint32_t index, std::uint32_t generation);

    file_descriptor epoll_;
    error_handler on_error_;
    std::vector<registration> registrations_;
};

} // namespace samphire
