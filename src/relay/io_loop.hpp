#pragma once

#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <vector>

namespace samphire
{

/// Sockets of one duty thread: waits for several descriptors and calls the
/// handler of each that is ready.
class io_loop
{
public:
    /// Gets the epoll events.
    using handler = std::function<void(std::uint32_t)>;

    io_loop();

    /// Throws std::system_error when the kernel refuses.
    void add(int descriptor, std::uint32_t events, handler on_ready);
    void modify(int descriptor, std::uint32_t events);
    /// Before the descriptor is closed.
    void remove(int descriptor);

    /// Waits up to `timeout` and calls the handlers of what is ready.
    void run_once(absl::Duration timeout);

private:
    struct entry
    {
        handler on_ready_;
        std::uint32_t generation_{};
    };

    file_descriptor epoll_;
    std::vector<entry> entries_;
};

} // namespace samphire
