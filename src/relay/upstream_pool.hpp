#pragma once

#include "base/endpoint.hpp"
#include "base/monotonic_clock.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/upstream_record.hpp"
#include "relay/io_loop.hpp"
#include "relay/socket_factory.hpp"
#include "relay/upstream_connection.hpp"
#include "relay/upstream_handler.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace samphire
{

/// Connections to the upstream beside this daemon. Kept ones are used again;
/// one on which anything unexpected happened is closed. libcurl sends a
/// request again by itself when a kept connection ends before an answer, which
/// runs work twice, so the parser of Boost.Beast is used on our own sockets.
template <class Codec, class Handler>
class upstream_pool
{
public:
    upstream_pool(
        endpoint upstream,
        monotonic_clock const& clock,
        io_loop& loop,
        Handler& handler)
        : upstream_(upstream), clock_(clock), loop_(loop), handler_(handler)
    {
        // The handler is complete here, but not yet where it holds the pool.
        static_assert(upstream_handler<Handler>);
    }

    void start(
        execute_order const& order,
        upstream_record const& record,
        absl::Duration left);
    void abort(execution_key key);
    void probe();
    void tick(absl::Time now);

    std::uint64_t opened() const
    {
        return opened_;
    }

private:
    using connection_map = absl::
        flat_hash_map<std::uint64_t, std::unique_ptr<upstream_connection>>;

    upstream_connection* connect(std::uint64_t& id);
    upstream_connection*
    take_idle(bool repeatable, std::uint64_t& id, absl::Time now);
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read(std::uint64_t id, upstream_connection& connection);
    void parse(std::uint64_t id, upstream_connection& connection, bool ended);
    void finish(std::uint64_t id, upstream_connection& connection);
    void fail(
        std::uint64_t id,
        upstream_connection& connection,
        upstream_failure failure);
    void watch(upstream_connection& connection);
    std::unique_ptr<upstream_connection> drop(std::uint64_t id);

    endpoint const upstream_;
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    connection_map connections_;
    absl::flat_hash_map<execution_key, std::uint64_t> busy_;
    std::vector<std::uint64_t> idle_;
    std::uint64_t last_connection_{};
    std::uint64_t opened_{};
};

} // namespace samphire

#include "relay/upstream_pool.ipp"
