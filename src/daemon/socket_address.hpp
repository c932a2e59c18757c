#pragma once

#include "base/endpoint.hpp"

#include <netinet/in.h>

namespace samphire
{

sockaddr_in to_socket_address(endpoint address);
endpoint from_socket_address(sockaddr_in const& socket_address);

} // namespace samphire
