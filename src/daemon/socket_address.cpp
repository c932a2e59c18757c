#include "daemon/socket_address.hpp"

#include <arpa/inet.h>

namespace samphire
{

sockaddr_in to_socket_address(endpoint address)
{
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(address.address());
    socket_address.sin_port = htons(address.port());
    return socket_address;
}

endpoint from_socket_address(sockaddr_in const& socket_address)
{
    return endpoint(
        ntohl(socket_address.sin_addr.s_addr), ntohs(socket_address.sin_port));
}

} // namespace samphire
