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

/// Manages the connections to the local upstream. Idle connections are reused;
/// a connection with unexpected data or an error is closed. libcurl sends a
/// request again on its own when a reused connection ends before the answer,
/// which runs the request twice, so this class uses the parser of Boost.Beast
/// on its own sockets.
template <class Codec, class Handler>
class upstream_pool
{
public:
    /// `max_total_answer_bytes`: maximum memory of all answers that are being
    /// received; beyond it the largest fails.
    upstream_pool(
        endpoint upstream,
        std::size_t max_total_answer_bytes,
        monotonic_clock const& clock,
        io_loop& loop,
        Handler& handler)
        : upstream_(upstream), max_total_answer_bytes_(max_total_answer_bytes),
          clock_(clock), loop_(loop), handler_(handler)
    {
        // The concept is checked here because Handler is still incomplete where
        // it declares the pool as a member.
        static_assert(upstream_handler<Handler>);
    }

    void start(
        execute_order const& order,
        upstream_record const& record,
        absl::Duration remaining_time);
    /// Closes the connection of the request if it is not established yet, so
    /// that the request is never sent; returns false when it may have been
    /// sent.
    bool withdraw(execution_key key);
    void abort(execution_key key);
    void probe_upstream();
    void tick(absl::Time now);

    std::uint64_t opened_connection_count() const
    {
        return opened_connections_;
    }

private:
    using connection_map = absl::
        flat_hash_map<std::uint64_t, std::unique_ptr<upstream_connection>>;

    upstream_connection* open_connection(std::uint64_t& id);
    upstream_connection*
    acquire_idle_connection(bool repeatable, std::uint64_t& id, absl::Time now);
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read_answer(std::uint64_t id, upstream_connection& connection);
    void
    parse_answer(std::uint64_t id, upstream_connection& connection, bool ended);
    /// Returns false for an interim response, and for a duplicate answer to an
    /// earlier request; the answer to the request in progress follows.
    static bool is_answer_to_request(upstream_connection const& connection);
    /// Records that the answer on the connection takes `bytes` of the total.
    void count_answer_bytes(upstream_connection& connection, std::size_t bytes);
    /// Fails the requests with the largest answers until the total is within
    /// its limit, so that an endless answer does not take others with it.
    void give_up_largest_answers();
    void finish_request(std::uint64_t id, upstream_connection& connection);
    void fail_request(
        std::uint64_t id,
        upstream_connection& connection,
        upstream_failure failure);
    void update_events(upstream_connection& connection);
    std::unique_ptr<upstream_connection> close_connection(std::uint64_t id);

    endpoint const upstream_;
    std::size_t const max_total_answer_bytes_;
    std::size_t total_answer_bytes_{};
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    connection_map connections_;
    absl::flat_hash_map<execution_key, std::uint64_t> busy_connection_ids_;
    std::vector<std::uint64_t> idle_connections_;
    std::uint64_t last_connection_id_{};
    std::uint64_t opened_connections_{};
};

} // namespace samphire

#include "relay/upstream_pool.ipp"
