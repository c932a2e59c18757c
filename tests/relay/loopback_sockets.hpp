#pragma once

#include "base/endpoint.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace samphire
{

/// Returns a loopback address whose port was free at the time of the call.
inline endpoint free_loopback_address()
{
    int const socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    ::bind(socket, reinterpret_cast<sockaddr*>(&name), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&name), &size);
    ::close(socket);
    return endpoint(INADDR_LOOPBACK, ntohs(name.sin_port));
}

} // namespace samphire
