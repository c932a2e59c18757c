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
    /// `max_unconsumed_bytes` bytes that are not consumed. The end of the
    /// stream counts as broken once a write has failed: the error that tells a
    /// reset from an orderly end is reported only once, and the write has taken
    /// it.
    stream_state receive(std::size_t max_unconsumed_bytes);

    std::string_view received() const
    {
        return std::string_view(receive_buffer_).substr(consumed_bytes_);
    }

    void consume(std::size_t byte_count);

    /// Whether the other side has closed the connection, or shut down its
    /// sending direction, and no unread bytes precede that.
    bool has_peer_closed() const;

    /// Queues bytes without writing them. Used while a connect is in progress:
    /// a write to a refused connection would clear the socket error that
    /// reports the refusal.
    void queue(std::string bytes);
    /// Queues bytes and writes as many as the socket accepts; returns false
    /// when the connection is broken.
    bool send(std::string bytes);
    /// Writes as many queued bytes as the socket accepts; returns false when
    /// the connection is broken.
    bool flush();

    bool has_unsent_bytes() const
    {
        return !unsent_buffers_.empty();
    }

    std::size_t unsent_bytes() const
    {
        return unsent_bytes_;
    }

    /// Records the epoll events that are registered for the socket; returns
    /// true when they differ from the events recorded before.
    bool replace_epoll_events(std::uint32_t events)
    {
        return std::exchange(epoll_events_, events) != events;
    }

private:
    file_descriptor socket_;
    std::string receive_buffer_;
    std::size_t consumed_bytes_{};
    std::deque<std::string> unsent_buffers_;
    std::size_t front_sent_bytes_{};
    std::size_t unsent_bytes_{};
    bool write_failed_{};
    std::uint32_t epoll_events_{};
};

} // namespace samphire
