#include "relay/io_loop.hpp"
#include "relay/loopback_client.hpp"
#include "relay/loopback_sockets.hpp"
#include "relay/socket_factory.hpp"

#include <CppUTest/TestHarness.h>

#include <stdexcept>
#include <sys/epoll.h>

using namespace samphire;

TEST_GROUP(io_loop)
{
    endpoint const address{free_loopback_address()};
    file_descriptor listener{socket_factory::listen(address)};
    loopback_client client{address};
    file_descriptor socket;
    io_loop loop;
    int calls{};
    int errors{};

    void setup() override
    {
        loop.set_error_handler([this](std::exception const&) { ++errors; });
        while (!socket.valid())
            socket = socket_factory::accept(listener.get());
    }

    void run_loop()
    {
        for (int i = 0; i < 10; ++i)
            loop.run_once(absl::Milliseconds(2));
    }

    void throw_error()
    {
        ++calls;
        throw std::out_of_range("unexpected");
    }
};

// Guards against one unexpected error that ends the process, or that keeps the
// loop busy with the same connection for ever.
TEST(io_loop, error_in_a_handler_ends_its_connection_only)
{
    loop.add(socket.get(), EPOLLIN, [this](std::uint32_t) { throw_error(); });
    client.send("x");
    run_loop();
    LONGS_EQUAL(2, calls);
    LONGS_EQUAL(2, errors);
    client.receive(absl::Milliseconds(20));
    CHECK(client.closed());
}

TEST(io_loop, error_in_a_service_handler_leaves_the_service)
{
    loop.add(
        listener.get(),
        EPOLLIN,
        [this](std::uint32_t) { throw_error(); },
        descriptor_role::service);
    loopback_client const other{address};
    run_loop();
    CHECK(calls > 2);
    LONGS_EQUAL(calls, errors);
}

TEST(io_loop, descriptor_that_is_registered_again_has_not_failed)
{
    loop.add(socket.get(), EPOLLIN, [this](std::uint32_t) { throw_error(); });
    client.send("x");
    run_loop();
    loop.add(socket.get(), EPOLLIN, [this](std::uint32_t) { ++calls; });
    calls = 0;
    run_loop();
    CHECK(calls > 2);
}
