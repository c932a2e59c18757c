#pragma once

#include "base/file_descriptor.hpp"
#include "relay/stream_state.hpp"

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace samphire
{

/// A non-blocking TCP connection with what was read and not yet used, and
/// what is still to be written.
class byte_stream
{
public:
    explicit byte_stream(file_descriptor socket) : socket_(std::move(socket))
    {
    }

    int descriptor() const
    {
        return socket_.get();
    }

    /// Reads what has arrived, up to `limit` unused bytes.
    stream_state receive(std::size_t limit);

    std::string_view received() const
    {
        return std::string_view(received_).substr(consumed_);
    }

    void consume(std::size_t count);

    /// Queues bytes without a try to write them, while still connecting: a
    /// write to a refused connection would take its error away.
    void queue(std::string bytes);
    /// Queues bytes and writes what the socket takes; false when broken.
    bool send(std::string bytes);
    /// Writes more of what is queued; false when broken.
    bool flush();

    bool has_unsent() const
    {
        return !unsent_.empty();
    }

    std::size_t unsent_size() const
    {
        return unsent_size_;
    }

    /// Records the events that are waited for; true when they differ.
    bool set_events(std::uint32_t events)
    {
        return std::exchange(events_, events) != events;
    }

private:
    file_descriptor socket_;
    std::string received_;
    std::size_t consumed_{};
    std::deque<std::string> unsent_;
    std::size_t offset_{};
    std::size_t unsent_size_{};
    std::uint32_t events_{};
};

} // namespace samphire
