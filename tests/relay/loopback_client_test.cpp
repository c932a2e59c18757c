#include "relay/loopback_client.hpp"
#include "relay/socket_factory.hpp"

#include <array>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace samphire
{

loopback_client::loopback_client(endpoint server)
    : socket_(socket_factory::connect(server, absl::Seconds(5)))
{
    pollfd ready{socket_.get(), POLLOUT, 0};
    ::poll(&ready, 1, 2000);
}

loopback_client::loopback_client(file_descriptor socket)
    : socket_(std::move(socket))
{
}

void loopback_client::send(std::string const& bytes)
{
    ::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string loopback_client::receive(absl::Duration silence)
{
    std::string received;
    while (true)
    {
        pollfd ready{socket_.get(), POLLIN, 0};
        int const count = ::poll(
            &ready, 1, static_cast<int>(absl::ToInt64Milliseconds(silence)));
        if (count <= 0)
            return received;
        std::array<char, 4096> buffer{};
        ssize_t const size =
            ::recv(socket_.get(), buffer.data(), buffer.size(), 0);
        if (size <= 0)
        {
            closed_ = true;
            return received;
        }
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

void loopback_client::end_sending()
{
    ::shutdown(socket_.get(), SHUT_WR);
}

void loopback_client::reset()
{
    linger const now{1, 0};
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    socket_.reset();
}

} // namespace samphire
