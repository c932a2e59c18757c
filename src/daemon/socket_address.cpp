#include "daemon/socket_address.hpp"

#include <arpa/inet.h>

namespace samphire
{

sockaddr_in to_socket_address(endpoint address)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(address.address());
    name.sin_port = htons(address.port());
    return name;
}

endpoint from_socket_address(sockaddr_in const& name)
{
    return endpoint(ntohl(name.sin_addr.s_addr), ntohs(name.sin_port));
}

} // namespace samphire
