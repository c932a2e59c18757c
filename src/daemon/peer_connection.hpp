#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace samphire
{

/// One TCP connection to a peer with its send and receive buffers. A frame is
/// a 4-byte length in network byte order followed by a message.
class peer_connection
{
public:
    static constexpr std::size_t length_bytes = 4;
    /// Maximum number of unsent bytes. The connection is closed if the peer
    /// reads so slowly that more bytes would be unsent.
    static constexpr std::size_t max_unsent_bytes = 32u << 20;

    peer_connection(file_descriptor socket, endpoint peer, bool established)
        : socket_(std::move(socket)), peer_(peer), is_established_(established),
          watched_for_output_(!established)
    {
    }

    int descriptor() const
    {
        return socket_.get();
    }

    /// Returns the address of the peer; empty on an accepted connection until
    /// the first message of the peer has arrived.
    endpoint peer() const
    {
        return peer_;
    }

    void set_peer(endpoint peer)
    {
        peer_ = peer;
    }

    bool is_established() const
    {
        return is_established_;
    }

    void set_established()
    {
        is_established_ = true;
    }

    bool has_unsent_bytes() const
    {
        return sent_bytes_ < send_buffer_.size();
    }

    /// Records whether epoll watches the socket for EPOLLOUT; returns true when
    /// the recorded value changes.
    bool set_watched_for_output(bool watched)
    {
        return std::exchange(watched_for_output_, watched) != watched;
    }

    /// Queues a message as a frame; returns false when more than
    /// max_unsent_bytes would be unsent.
    bool queue(std::string_view message);

    /// Writes as many queued bytes as the socket accepts; returns false when
    /// the connection is broken.
    bool flush();

    /// Reads the bytes that have arrived; returns false when the connection has
    /// ended.
    bool receive();

    /// Removes and returns the next message that has arrived completely.
    std::optional<std::string> next_message();

    /// Returns true when the length of the next frame exceeds
    /// message_codec::max_message_bytes.
    bool received_oversized_message() const
    {
        return received_oversized_message_;
    }

private:
    file_descriptor socket_;
    endpoint peer_;
    bool is_established_;
    std::string send_buffer_;
    std::size_t sent_bytes_{};
    std::string receive_buffer_;
    std::size_t consumed_bytes_{};
    bool received_oversized_message_{};
    bool watched_for_output_{};
};

} // namespace samphire
