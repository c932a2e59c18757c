#pragma once

#include "base/endpoint.hpp"
#include "base/monotonic_clock.hpp"
#include "relay/io_loop.hpp"
#include "relay/mesh_handler.hpp"
#include "relay/mesh_times.hpp"
#include "relay/peer_link.hpp"
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

/// Connections to all other daemons: dials those that are known, answers those
/// that dial, and finds out which are silent.
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

    /// Keeps a connection to the daemon from now on.
    void want(endpoint daemon, absl::Time now);
    void forget(endpoint daemon);
    /// False when there is no connection to that daemon.
    bool send(endpoint daemon, relay_message const& message);
    /// Answers on the connection that this start of a daemon made.
    bool reply(std::uint64_t incarnation, relay_message const& message);
    void broadcast(relay_message const& message);
    /// Asks all peers now, so that they learn of a change at once.
    void send_beacons();
    void tick(absl::Time now);

    /// How long the daemon has not been reached; zero while it is.
    absl::Duration unreached(endpoint daemon, absl::Time now) const;

    std::size_t connected() const
    {
        return out_.size();
    }

private:
    struct dial_state
    {
        /// 0 when there is no link.
        std::uint64_t link_{};
        absl::Time next_{absl::InfinitePast()};
        absl::Duration pause_{};
        absl::Time lost_at_{};
    };

    static constexpr std::size_t unsent_limit = 24u << 20;
    static constexpr std::size_t read_limit =
        relay_codec::frame_limit + (1u << 20);

    void accept_all();
    void dial(endpoint daemon, dial_state& state, absl::Time now);
    void on_ready(std::uint64_t id, std::uint32_t events);
    void read(std::uint64_t id);
    bool take_frame(std::uint64_t id, std::string_view frame);
    void on_first_message(std::uint64_t id, daemon_hello const& hello);
    bool write(std::uint64_t id, relay_message const& message);
    void watch(peer_link& link);
    void drop(std::uint64_t id);
    std::uint64_t add(file_descriptor socket, endpoint daemon, bool dialled);

    absl::Duration beacon_interval() const
    {
        return times_.beacon_ + times_.beacon_per_peer_ * dials_.size();
    }

    mesh_times const times_;
    relay_codec const codec_;
    monotonic_clock const& clock_;
    io_loop& loop_;
    Handler& handler_;
    file_descriptor listener_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<peer_link>> links_;
    absl::flat_hash_map<endpoint, dial_state> dials_;
    /// Dialled links whose other side has answered.
    absl::flat_hash_map<endpoint, std::uint64_t> out_;
    /// Accepted links by the incarnation of the daemon that dialled.
    absl::flat_hash_map<std::uint64_t, std::uint64_t> in_;
    std::uint64_t last_link_{};
};

} // namespace samphire

#include "relay/peer_mesh.ipp"
