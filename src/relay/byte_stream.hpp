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

/// A non-blocking TCP connection with a buffer of received bytes that are not
/// consumed yet and a queue of bytes that are not written yet.
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

    /// Reads available bytes; stops once the receive buffer holds at least
    /// `limit` bytes that are not consumed.
    stream_state receive(std::size_t limit);

    std::string_view received() const
    {
        return std::string_view(received_).substr(consumed_);
    }

    void consume(std::size_t count);

    /// Queues bytes without writing them. For a socket whose connect is still
    /// in progress: a write to a refused connection would clear the socket
    /// error that reports the refusal.
    void queue(std::string bytes);
    /// Queues bytes and writes as many as the socket accepts; false when the
    /// connection is broken.
    bool send(std::string bytes);
    /// Writes as many queued bytes as the socket accepts; false when the
    /// connection is broken.
    bool flush();

    bool has_unsent() const
    {
        return !unsent_.empty();
    }

    std::size_t unsent_size() const
    {
        return unsent_size_;
    }

    /// Records the epoll events that are registered for the socket; true when
    /// they differ from those recorded before.
    bool set_events(std::uint32_t events)
    {
        return std::exchange(events_, events) != events;
    }

private:
    file_descriptor socket_;
    std::string received_;
    std::size_t consumed_{};
    std::deque<std::string> unsent_;
    std::size_t front_offset_{};
    std::size_t unsent_size_{};
    std::uint32_t events_{};
};

} // namespace samphire
