#pragma once

#include "forwarding/load_report.hpp"

#include <cstdint>

namespace samphire
{

/// Ping on a connection between two daemons, or the answer to a ping. A daemon
/// that does not answer a ping in time is considered unreachable.
struct daemon_beacon
{
    /// False for a ping; true for the answer to one.
    bool is_answer_{};
    std::uint64_t policy_version_{};
    /// Load of the upstream that the sender guards.
    load_report load_{};
    bool is_stopping_{};

    friend bool
    operator==(daemon_beacon const&, daemon_beacon const&) = default;
};

} // namespace samphire
