#pragma once

#include "forwarding/load_report.hpp"

#include <cstdint>

namespace samphire
{

/// Ping on a connection between daemons, and its answer. A daemon that does not
/// answer in time is considered unreachable.
struct daemon_beacon
{
    bool is_answer_{};
    std::uint64_t policy_version_{};
    load_report load_{};
    bool stopping_{};

    friend bool
    operator==(daemon_beacon const&, daemon_beacon const&) = default;
};

} // namespace samphire
