#include "http/silence_detection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace samphire
{

namespace
{

constexpr int keep_alive_interval_s = 1;
constexpr int max_unacknowledged_probes = 2;
constexpr int unacknowledged_timeout_ms = 2000;

} // namespace

void silence_detection::enable(int descriptor)
{
    auto const set_option = [&](int level, int option, int value)
    {
        ::setsockopt(descriptor, level, option, &value, sizeof(value));
    };
    set_option(SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_interval_s);
    set_option(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(IPPROTO_TCP, TCP_KEEPCNT, max_unacknowledged_probes);
    set_option(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

} // namespace samphire
