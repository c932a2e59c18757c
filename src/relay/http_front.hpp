#pragma once

#include "base/endpoint.hpp"
#include "base/monotonic_clock.hpp"
#include "relay/front_answer.hpp"
#include "relay/front_connection.hpp"
#include "relay/front_handler.hpp"
#include "relay/front_limits.hpp"
#include "relay/io_loop.hpp"
#include "relay/socket_factory.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace samphire
{

/// HTTP/1.1 server on one address. Requests are read whole before they are
/// handed over. libmicrohttpd does not see a client leave while its request is
/// suspended, so the parser of Boost.Beast is used on our own sockets.
template <class Handler>
class http_front
{
public:
    http_front(
        endpoint listen,
        front_limits limits,
        std::uint64_t& last_token,
        monotonic_clock const& clock,
        io_loop& loop,
        Handler& handler);

    void answer(client_token token, front_answer const& answer);
    void set_limits(client_limits limits);
    /// Answers ask clients to close their connections from now on.
    void close_after_answers()
    {
        closing_ = true;
    }

    /// Ends connections that are idle or too slow.
    void tick(absl::Time now);

    std::size_t connections() const
    {
        return connections_.size();
    }

private:
    using connection_map =
        absl::flat_hash_map<std::uint64_t, std::unique_ptr<front_connection>>;

    void accept_all();
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read(std::uint64_t id, front_connection& connection);
    void parse(std::uint64_t id, front_connection& connection);
    /// False when the request was refused.
    bool check_head(std::uint64_t id, front_connection& connection);
    void reject(
        std::uint64_t id, front_connection& connection, std::uint16_t status);
    void watch(front_connection& connection);
    void drop(std::uint64_t id);
    void write(
        std::uint64_t id,
        front_connection& connection,
        front_answer const& answer);
    void release(front_connection& connection);

    front_limits limits_;
    std::uint64_t& last_token_;
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    file_descriptor listener_;
    connection_map connections_;
    absl::flat_hash_map<client_token, std::uint64_t> by_token_;
    std::uint64_t last_connection_{};
    std::size_t held_{};
    bool closing_{};
};

} // namespace samphire

#include "relay/http_front.ipp"
