#pragma once

#include "base/endpoint.hpp"
#include "base/monotonic_clock.hpp"
#include "relay/frontend_answer.hpp"
#include "relay/frontend_connection.hpp"
#include "relay/frontend_handler.hpp"
#include "relay/frontend_limits.hpp"
#include "relay/io_loop.hpp"
#include "relay/socket_factory.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace samphire
{

/// HTTP/1.1 server on one address. A request is read completely before it is
/// passed to the handler. libmicrohttpd does not detect that a client
/// disconnects while its request is suspended, so this class uses the parser of
/// Boost.Beast on its own sockets.
template <class Handler>
class http_frontend
{
public:
    http_frontend(
        endpoint listen,
        frontend_limits limits,
        std::uint64_t& last_token,
        monotonic_clock const& clock,
        io_loop& loop,
        Handler& handler);

    void answer(client_token token, frontend_answer const& answer);
    void set_limits(client_limits limits);
    /// From now on, closes each connection after its next answer.
    void close_after_answers()
    {
        closes_after_answers_ = true;
    }

    /// Closes idle connections, and rejects requests whose header takes too
    /// long.
    void tick(absl::Time now);

    std::size_t connection_count() const
    {
        return connections_.size();
    }

    /// Returns the number of connections with an answer that is not written
    /// completely.
    std::size_t unsent_answer_count() const;

private:
    using connection_map = absl::
        flat_hash_map<std::uint64_t, std::unique_ptr<frontend_connection>>;

    void accept_pending_connections();
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read_requests(std::uint64_t id, frontend_connection& connection);
    void parse_requests(std::uint64_t id, frontend_connection& connection);
    /// Checks the header of the request on the connection; returns false when
    /// the request was rejected.
    bool check_header(std::uint64_t id, frontend_connection& connection);
    void reject(
        std::uint64_t id,
        frontend_connection& connection,
        std::uint16_t status);
    void update_events(frontend_connection& connection);
    void close_connection(std::uint64_t id);
    void write_answer(
        std::uint64_t id,
        frontend_connection& connection,
        frontend_answer const& answer);
    void release_body_bytes(frontend_connection& connection);

    frontend_limits limits_;
    std::uint64_t& last_token_;
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    file_descriptor listener_;
    connection_map connections_;
    absl::flat_hash_map<client_token, std::uint64_t> connection_ids_by_token_;
    std::uint64_t last_connection_id_{};
    std::size_t reserved_body_bytes_{};
    bool closes_after_answers_{};
};

} // namespace samphire

#include "relay/http_frontend.ipp"
