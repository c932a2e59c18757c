#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace samphire
{

/// One TCP connection to a peer and its buffers. A frame is a 4-byte length in
/// network order and a message.
class peer_connection
{
public:
    static constexpr std::size_t length_size = 4;
    /// A peer that reads more slowly than this is given up.
    static constexpr std::size_t unsent_limit = 32u << 20;

    peer_connection(file_descriptor socket, endpoint peer, bool established)
        : socket_(std::move(socket)), peer_(peer), established_(established),
          watched_for_room_(!established)
    {
    }

    int descriptor() const
    {
        return socket_.get();
    }

    /// Empty until an accepted connection has sent its first message.
    endpoint peer() const
    {
        return peer_;
    }

    void set_peer(endpoint peer)
    {
        peer_ = peer;
    }

    bool established() const
    {
        return established_;
    }

    void set_established()
    {
        established_ = true;
    }

    bool has_unsent() const
    {
        return sent_ < unsent_.size();
    }

    /// Records whether the poller waits for room to write; true when this
    /// differs from the last time.
    bool set_watched_for_room(bool watched)
    {
        return std::exchange(watched_for_room_, watched) != watched;
    }

    /// Queues a frame; false when too much is unsent.
    bool queue(std::string_view message);

    /// Writes what the socket takes; false when the connection is broken.
    bool flush();

    /// Reads what has arrived; false when the connection has ended.
    bool receive();

    /// Removes the next whole message from what has arrived.
    std::optional<std::string> next_message();

    /// True when the peer announced a frame over the limit.
    bool oversized() const
    {
        return oversized_;
    }

private:
    file_descriptor socket_;
    endpoint peer_;
    bool established_;
    std::string unsent_;
    std::size_t sent_{};
    std::string received_;
    std::size_t consumed_{};
    bool oversized_{};
    bool watched_for_room_{};
};

} // namespace samphire
