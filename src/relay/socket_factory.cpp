#include "relay/socket_factory.hpp"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>

namespace samphire
{

namespace
{

// The backlog holds a burst of new connections while the thread is busy.
constexpr int listen_backlog = 1024;

sockaddr_in to_sockaddr(endpoint address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port());
    name.sin_addr.s_addr = htonl(address.address());
    return name;
}

void set_option(int descriptor, int level, int option, int value)
{
    ::setsockopt(descriptor, level, option, &value, sizeof(value));
}

} // namespace

file_descriptor socket_factory::listen(endpoint address)
{
    file_descriptor socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(socket.get(), SOL_SOCKET, SO_REUSEADDR, 1);
    sockaddr_in const name = to_sockaddr(address);
    bool const bound = ::bind(
                           socket.get(),
                           reinterpret_cast<sockaddr const*>(&name),
                           sizeof(name)) == 0 &&
                       ::listen(socket.get(), listen_backlog) == 0;
    if (!bound)
        throw std::system_error(
            errno, std::generic_category(), "listen " + address.text());
    return socket;
}

file_descriptor
socket_factory::connect(endpoint address, absl::Duration unacknowledged_timeout)
{
    file_descriptor socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.valid())
        return socket;
    set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    set_unacknowledged_timeout(socket.get(), unacknowledged_timeout);
    sockaddr_in const name = to_sockaddr(address);
    int const result = ::connect(
        socket.get(), reinterpret_cast<sockaddr const*>(&name), sizeof(name));
    if (result != 0 && errno != EINPROGRESS)
        socket.reset();
    return socket;
}

file_descriptor socket_factory::accept(int listener)
{
    file_descriptor socket(
        ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.valid())
        set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    return socket;
}

bool socket_factory::connect_succeeded(int descriptor)
{
    int error = 0;
    socklen_t size = sizeof(error);
    bool const read =
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
    return read && error == 0;
}

void socket_factory::set_unacknowledged_timeout(
    int descriptor, absl::Duration unacknowledged_timeout)
{
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(absl::ToInt64Milliseconds(unacknowledged_timeout)));
}

} // namespace samphire
