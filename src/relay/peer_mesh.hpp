#pragma once

#include "base/endpoint.hpp"
#include "base/monotonic_clock.hpp"
#include "relay/io_loop.hpp"
#include "relay/mesh_times.hpp"
#include "relay/peer_link.hpp"
#include "relay/peer_mesh_handler.hpp"
#include "relay/relay_codec.hpp"
#include "relay/socket_factory.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Manages the connections to all other daemons: dials the known daemons,
/// accepts connections, and closes connections that stay silent.
template <class Handler>
class peer_mesh
{
public:
    peer_mesh(
        endpoint listen,
        mesh_times times,
        relay_codec codec,
        monotonic_clock const& clock,
        io_loop& loop,
        Handler& handler);

    /// Dials the daemon, and dials it again whenever the connection ends.
    void add_peer(endpoint daemon, absl::Time now);
    void remove_peer(endpoint daemon);
    /// Sends a message on the connection that this daemon dialled; returns
    /// false when there is no such connection.
    bool send(endpoint daemon, relay_message const& message);
    /// Sends a message on the connection that the daemon with this incarnation
    /// dialled; returns false when there is no such connection or the write
    /// fails.
    bool reply(std::uint64_t incarnation, relay_message const& message);
    void broadcast(relay_message const& message);
    /// Sends a beacon to all peers now, so that the peers learn of a change at
    /// once.
    void send_beacons();
    void tick(absl::Time now);

    /// Returns how long this daemon has had no connection to `daemon`; zero
    /// while `daemon` is connected or unknown.
    absl::Duration unreachable_duration(endpoint daemon, absl::Time now) const;

    std::size_t connected_peer_count() const
    {
        return outgoing_link_ids_.size();
    }

    /// Returns the number of links with a message that is not written
    /// completely.
    std::size_t unsent_link_count() const;

private:
    struct dial_state
    {
        /// Id of the dialled link; zero while there is no such link.
        std::uint64_t link_id_{};
        absl::Time next_dial_at_{absl::InfinitePast()};
        absl::Duration redial_delay_{};
        absl::Time unreachable_since_{};
    };

    static constexpr std::size_t max_unsent_bytes = 24u << 20;
    static constexpr std::size_t max_buffered_bytes =
        relay_codec::max_frame_bytes + (1u << 20);

    void accept_pending_connections();
    void dial(endpoint daemon, dial_state& peer_dial_state, absl::Time now);
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read_frames(std::uint64_t id);
    /// Handles one received frame; returns false when the frame is invalid, so
    /// that the link is closed.
    bool handle_frame(std::uint64_t id, std::string_view frame);
    void on_first_hello(std::uint64_t id, daemon_hello const& hello);
    /// Queues a message on the link and writes what the socket accepts; returns
    /// false when the link is broken or has too many unsent bytes.
    bool write_message(std::uint64_t id, relay_message const& message);
    void update_events(peer_link& link);
    void close_link(std::uint64_t id);
    std::uint64_t
    add_link(file_descriptor socket, endpoint daemon, bool dialled);

    absl::Duration beacon_interval() const
    {
        return times_.beacon_interval_ +
               times_.beacon_interval_per_peer_ * dial_states_.size();
    }

    mesh_times const times_;
    relay_codec const codec_;
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    file_descriptor listener_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<peer_link>> links_;
    absl::flat_hash_map<endpoint, dial_state> dial_states_;
    /// Ids of the dialled links whose hello was answered, by daemon.
    absl::flat_hash_map<endpoint, std::uint64_t> outgoing_link_ids_;
    /// Ids of the accepted links, by the incarnation of the daemon that
    /// dialled.
    absl::flat_hash_map<std::uint64_t, std::uint64_t> incoming_link_ids_;
    std::uint64_t last_link_id_{};
};

} // namespace samphire

#include "relay/peer_mesh.ipp"
