#include "base/file_descriptor.hpp"
#include "http/silence_detection.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace samphire;

TEST_GROUP(silence_detection)
{
    file_descriptor socket{::socket(AF_INET, SOCK_STREAM, 0)};

    int option(int level, int name) const
    {
        int value = 0;
        socklen_t size = sizeof(value);
        LONGS_EQUAL(0, ::getsockopt(socket.get(), level, name, &value, &size));
        return value;
    }
};

// Guards against a watch that waits for its whole duration on a connection that
// is dead: probes have to find that out within the 3 s after which operators
// expect changes to arrive again.
TEST(silence_detection, enabled_socket_is_given_up_within_three_seconds)
{
    silence_detection::enable(socket.get());
    CHECK(option(SOL_SOCKET, SO_KEEPALIVE) != 0);
    int const seconds =
        option(IPPROTO_TCP, TCP_KEEPIDLE) +
        option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
    CHECK(seconds <= 3);
    CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) > 0);
    CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) <= 3000);
}
