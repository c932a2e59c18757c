#pragma once

#include "base/endpoint.hpp"
#include "forwarding/upstream_record.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// First message that each daemon sends on a connection to another daemon.
struct daemon_hello
{
    endpoint daemon_{};
    /// Incarnation of the sender's process.
    std::uint64_t incarnation_{};
    /// Version of the operators' policy that the sender applies; 0 for none.
    std::uint64_t policy_version_{};
    upstream_record upstream_{};
    bool is_stopping_{};

    friend bool operator==(daemon_hello const&, daemon_hello const&) = default;
};

} // namespace samphire
