#pragma once

#include "base/bounded_ring.hpp"
#include "base/epoll_set.hpp"
#include "base/wake_event.hpp"
#include "daemon/daemon_state.hpp"
#include "daemon/event_ring.hpp"
#include "messages/outgoing_message.hpp"
#include "wire/message_codec.hpp"

#include <atomic>

namespace samphire
{

/// Sends and receives messages between daemons over UDP, on the duty thread
/// "datagrams".
class datagram_transport
{
public:
    /// A datagram of this size fits into one Ethernet frame.
    static constexpr std::size_t max_datagram_bytes = 1200;

    /// Binds the port; throws std::system_error when the port is in use.
    datagram_transport(
        endpoint listen,
        message_codec codec,
        event_ring& events,
        daemon_state& state);

    void run();
    /// Ends run() once all queued messages have been sent.
    void stop();

    /// Queues a message; drops and counts the message when the ring of outgoing
    /// messages is full.
    void send(outgoing_message message);

private:
    void receive_datagrams();
    void send_datagrams();

    message_codec const codec_;
    event_ring& events_;
    daemon_state& state_;
    file_descriptor socket_;
    bounded_ring<outgoing_message> outgoing_messages_;
    wake_event wake_;
    epoll_set epoll_;
    std::atomic<bool> stopping_{};
};

} // namespace samphire
