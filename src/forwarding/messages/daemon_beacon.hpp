#pragma once

#include "forwarding/load_report.hpp"

#include <cstdint>

namespace samphire
{

/// Question on an idle connection and its answer: who does not answer in time
/// is taken for unreachable.
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
