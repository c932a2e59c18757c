#include "daemon/datagram_transport.hpp"

#include "daemon/socket_address.hpp"

#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>
#include <utility>

namespace samphire
{

namespace
{

constexpr std::size_t ring_capacity = 16384;
constexpr std::size_t receive_buffer_bytes = 2048;

file_descriptor open_bound_socket(endpoint address)
{
    file_descriptor socket(
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in const socket_address = to_socket_address(address);
    if (::bind(
            socket.get(),
            reinterpret_cast<sockaddr const*>(&socket_address),
            sizeof socket_address) != 0)
        throw std::system_error(
            errno,
            std::generic_category(),
            "cannot bind the UDP socket for datagrams");
    return socket;
}

} // namespace

datagram_transport::datagram_transport(
    endpoint listen,
    message_codec codec,
    event_ring& events,
    daemon_state& state)
    : codec_(std::move(codec)), events_(events), state_(state),
      socket_(open_bound_socket(listen)), outgoing_messages_(ring_capacity)
{
    epoll_.add(socket_.get(), EPOLLIN);
    epoll_.add(wake_.descriptor(), EPOLLIN);
}

void datagram_transport::run()
{
    for (;;)
    {
        bool const stopping = stopping_.load(std::memory_order_relaxed);
        for (epoll_event const& ready : epoll_.wait(
                 stopping ? absl::ZeroDuration() : absl::InfiniteDuration()))
        {
            if (ready.data.fd == wake_.descriptor())
                wake_.clear();
            else
                receive_datagrams();
        }
        send_datagrams();
        if (stopping)
            return;
    }
}

void datagram_transport::stop()
{
    stopping_.store(true, std::memory_order_relaxed);
    wake_.notify();
}

void datagram_transport::send(outgoing_message message)
{
    if (!outgoing_messages_.try_push(std::move(message)))
        state_.metrics().add("datagrams_unsent_total");
    wake_.notify();
}

void datagram_transport::receive_datagrams()
{
    std::array<char, receive_buffer_bytes> buffer;
    for (;;)
    {
        auto const size =
            ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
        if (size < 0)
            return;
        decode_result const decoded = codec_.decode(
            std::string_view(buffer.data(), static_cast<std::size_t>(size)));
        if (!decoded)
        {
            state_.metrics().add(
                "datagrams_dropped_total{reason=\"" +
                std::string(wire_error_text(decoded.error())) + "\"}");
            continue;
        }
        state_.metrics().add(
            "datagram_bytes_received_total", static_cast<std::size_t>(size));
        events_.try_push(peer_message_received{
            decoded.value().from_, decoded.value().message_});
    }
}

void datagram_transport::send_datagrams()
{
    while (auto const message = outgoing_messages_.try_pop())
    {
        std::string const bytes = codec_.encode(message->message_);
        if (bytes.size() > max_datagram_bytes)
        {
            state_.metrics().add("datagrams_too_long_total");
            continue;
        }
        sockaddr_in const socket_address = to_socket_address(message->to_);
        ::sendto(
            socket_.get(),
            bytes.data(),
            bytes.size(),
            0,
            reinterpret_cast<sockaddr const*>(&socket_address),
            sizeof socket_address);
        state_.metrics().add("datagram_bytes_sent_total", bytes.size());
    }
}

} // namespace samphire
