#include "daemon/peer_transport.hpp"

#include "base/monotonic_clock.hpp"
#include "daemon/socket_address.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace samphire
{

namespace
{

constexpr std::size_t ring_capacity = 16384;
constexpr int listen_backlog = 1024;
// Time after which the kernel closes a connection whose sent data is not
// acknowledged. Without the limit TCP takes minutes to notice a broken link.
constexpr int tcp_user_timeout_ms = 3000;
constexpr absl::Duration stop_timeout = absl::Seconds(1);
constexpr absl::Duration stop_poll_interval = absl::Milliseconds(100);

void set_socket_options(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::setsockopt(
        socket,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        &tcp_user_timeout_ms,
        sizeof tcp_user_timeout_ms);
}

file_descriptor open_listening_socket(endpoint address)
{
    file_descriptor socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int const on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in const socket_address = to_socket_address(address);
    auto const* const generic_address =
        reinterpret_cast<sockaddr const*>(&socket_address);
    if (::bind(socket.get(), generic_address, sizeof socket_address) != 0 ||
        ::listen(socket.get(), listen_backlog) != 0)
        throw std::system_error(
            errno,
            std::generic_category(),
            "cannot listen for connections of peers");
    return socket;
}

} // namespace

peer_transport::peer_transport(
    endpoint listen,
    message_codec codec,
    event_ring& events,
    daemon_state& state)
    : codec_(std::move(codec)), events_(events), state_(state),
      listener_(open_listening_socket(listen)),
      outgoing_messages_(ring_capacity)
{
    epoll_.add(listener_.get(), EPOLLIN);
    epoll_.add(wake_.descriptor(), EPOLLIN);
}

void peer_transport::run()
{
    monotonic_clock const clock;
    absl::Time stop_deadline = absl::InfiniteFuture();
    while (clock.now() < stop_deadline)
    {
        bool const stopping = stopping_.load(std::memory_order_relaxed);
        if (stopping && stop_deadline == absl::InfiniteFuture())
        {
            stop_deadline = clock.now() + stop_timeout;
            close_listener();
        }
        for (epoll_event const& ready : epoll_.wait(
                 stopping ? stop_poll_interval : absl::InfiniteDuration()))
        {
            int const descriptor = ready.data.fd;
            if (descriptor == wake_.descriptor())
                wake_.clear();
            else if (descriptor == listener_.get())
                accept_connections();
            else if (auto const found = connections_.find(descriptor);
                     found != connections_.end())
                handle_socket_events(*found->second, ready.events);
        }
        send_outgoing_messages();
        if (stopping && !has_unsent_bytes())
            finish_sending();
        if (stopping && connections_.empty())
            return;
    }
}

void peer_transport::stop()
{
    stopping_.store(true, std::memory_order_relaxed);
    wake_.notify();
}

bool peer_transport::send(outgoing_message message)
{
    bool const queued = outgoing_messages_.try_push(std::move(message));
    wake_.notify();
    return queued;
}

void peer_transport::close_listener()
{
    epoll_.remove(listener_.get());
    listener_.reset();
}

/// Shuts down the sending side of all connections; run() goes on reading until
/// the peers close them. Closing a socket with unread data would reset the
/// connection, and the kernel would then drop replies that are not sent yet.
void peer_transport::finish_sending()
{
    for (auto const& [descriptor, connection] : connections_)
        ::shutdown(descriptor, SHUT_WR);
}

void peer_transport::accept_connections()
{
    for (;;)
    {
        file_descriptor socket(::accept4(
            listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!socket.valid())
            return;
        set_socket_options(socket.get());
        add_connection(std::move(socket), endpoint(), true);
    }
}

void peer_transport::send_outgoing_messages()
{
    while (auto const message = outgoing_messages_.try_pop())
    {
        peer_connection* const connection =
            find_or_open_connection(message->to_);
        if (!connection)
        {
            events_.push(peer_unreachable{message->to_, true});
            continue;
        }
        if (!connection->queue(codec_.encode(message->message_)) ||
            !connection->flush())
        {
            close_connection(*connection);
            continue;
        }
        update_epoll_events(*connection);
    }
}

peer_connection* peer_transport::find_or_open_connection(endpoint peer)
{
    auto const found = sockets_by_peer_.find(peer);
    return found == sockets_by_peer_.end()
               ? open_connection(peer)
               : connections_.at(found->second).get();
}

peer_connection* peer_transport::open_connection(endpoint peer)
{
    file_descriptor socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid())
        return nullptr;
    set_socket_options(socket.get());
    sockaddr_in const socket_address = to_socket_address(peer);
    int const result = ::connect(
        socket.get(),
        reinterpret_cast<sockaddr const*>(&socket_address),
        sizeof socket_address);
    if (result != 0 && errno != EINPROGRESS)
        return nullptr;
    return &add_connection(std::move(socket), peer, result == 0);
}

peer_connection& peer_transport::add_connection(
    file_descriptor socket, endpoint peer, bool established)
{
    int const descriptor = socket.get();
    epoll_.add(descriptor, established ? EPOLLIN : EPOLLIN | EPOLLOUT);
    auto connection =
        std::make_unique<peer_connection>(std::move(socket), peer, established);
    if (!peer.empty())
        sockets_by_peer_.insert_or_assign(peer, descriptor);
    return *connections_.insert_or_assign(descriptor, std::move(connection))
                .first->second;
}

void peer_transport::handle_socket_events(
    peer_connection& connection, std::uint32_t ready_events)
{
    if ((ready_events & EPOLLOUT) != 0 &&
        (ready_events & (EPOLLERR | EPOLLHUP)) == 0)
        connection.set_established();
    bool is_open = true;
    if ((ready_events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0)
    {
        is_open = connection.receive();
        is_open = receive_messages(connection) && is_open;
    }
    is_open = is_open && connection.flush();
    if (!is_open)
    {
        close_connection(connection);
        return;
    }
    update_epoll_events(connection);
}

/// Queues all complete messages as events; returns false when the peer sent a
/// frame over the size limit.
bool peer_transport::receive_messages(peer_connection& connection)
{
    while (auto const bytes = connection.next_message())
    {
        decode_result const decoded = codec_.decode(*bytes);
        if (!decoded)
        {
            state_.metrics().add(
                "peer_messages_dropped_total{reason=\"" +
                std::string(wire_error_text(decoded.error())) + "\"}");
            continue;
        }
        received_message const& message = decoded.value();
        if (connection.peer().empty())
        {
            connection.set_peer(message.from_.endpoint_);
            sockets_by_peer_.try_emplace(
                message.from_.endpoint_, connection.descriptor());
        }
        events_.push(peer_message_received{message.from_, message.message_});
    }
    if (connection.received_oversized_message())
        state_.metrics().add(
            "peer_messages_dropped_total{reason=\"too-long\"}");
    return !connection.received_oversized_message();
}

void peer_transport::update_epoll_events(peer_connection& connection)
{
    bool const waits_to_write =
        connection.has_unsent_bytes() || !connection.is_established();
    if (connection.set_watched_for_output(waits_to_write))
        epoll_.modify(
            connection.descriptor(),
            waits_to_write ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void peer_transport::close_connection(peer_connection& connection)
{
    int const descriptor = connection.descriptor();
    endpoint const peer = connection.peer();
    bool const established = connection.is_established();
    epoll_.remove(descriptor);
    auto const found = sockets_by_peer_.find(peer);
    bool const used_for_sending =
        found != sockets_by_peer_.end() && found->second == descriptor;
    if (used_for_sending)
        sockets_by_peer_.erase(found);
    connections_.erase(descriptor);
    if (used_for_sending)
        events_.push(peer_unreachable{peer, !established});
}

bool peer_transport::has_unsent_bytes() const
{
    return std::any_of(
        connections_.begin(),
        connections_.end(),
        [](auto const& entry) { return entry.second->has_unsent_bytes(); });
}

} // namespace samphire
