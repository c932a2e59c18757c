#pragma once

#include "base/bounded_ring.hpp"
#include "base/epoll_set.hpp"
#include "base/wake_event.hpp"
#include "daemon/daemon_state.hpp"
#include "daemon/event_ring.hpp"
#include "daemon/peer_connection.hpp"
#include "messages/outgoing_message.hpp"
#include "wire/message_codec.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <memory>

namespace samphire
{

/// Sends and receives messages between daemons over TCP, on the duty thread
/// "peers".
class peer_transport
{
public:
    /// Starts to listen; throws std::system_error when the port is in use.
    peer_transport(
        endpoint listen,
        message_codec codec,
        event_ring& events,
        daemon_state& state);

    void run();
    /// Ends run() once all queued messages have been sent and the peers have
    /// closed their connections, but after one second at the latest.
    void stop();

    /// Queues a message; returns false when the ring of outgoing messages is
    /// full.
    bool send(outgoing_message message);

private:
    using connection_map =
        absl::flat_hash_map<int, std::unique_ptr<peer_connection>>;

    void close_listener();
    void finish_sending();
    void accept_connections();
    void send_outgoing_messages();
    peer_connection* find_or_open_connection(endpoint peer);
    peer_connection* open_connection(endpoint peer);
    peer_connection&
    add_connection(file_descriptor socket, endpoint peer, bool established);
    void handle_socket_events(
        peer_connection& connection, std::uint32_t ready_events);
    bool receive_messages(peer_connection& connection);
    void update_epoll_events(peer_connection& connection);
    void close_connection(peer_connection& connection);
    bool has_unsent_bytes() const;

    message_codec const codec_;
    event_ring& events_;
    daemon_state& state_;
    file_descriptor listener_;
    bounded_ring<outgoing_message> outgoing_messages_;
    wake_event wake_;
    epoll_set epoll_;
    std::atomic<bool> stopping_{};
    connection_map connections_;
    absl::flat_hash_map<endpoint, int> sockets_by_peer_;
};

} // namespace samphire
