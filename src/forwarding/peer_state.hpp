#pragma once

#include "forwarding/load_report.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// What this daemon knows of another daemon and the upstream behind it.
struct peer_state
{
    upstream_record record_{};
    /// Start of the daemon's process; 0 when unknown.
    std::uint64_t incarnation_{};
    bool connected_{};
    /// Takes no new work, since its process is about to end.
    bool stopping_{};
    load_report load_{};
    absl::Time load_at_{absl::InfinitePast()};
    /// Requests that this daemon has sent there and that have not ended.
    std::uint32_t in_flight_{};
    /// The same when the load report came.
    std::uint32_t in_flight_at_report_{};
    absl::Time last_sent_{absl::InfinitePast()};
    /// The first send since anything was heard of it; infinite when there was
    /// none.
    absl::Time unheard_since_{absl::InfiniteFuture()};
    /// Answers "not taking work" until then, whatever the reports say.
    absl::Time closed_until_{absl::InfinitePast()};

    /// Has work, was asked three times and has not been heard: it may be cut
    /// off.
    bool silent(absl::Time now) const
    {
        constexpr absl::Duration limit = absl::Milliseconds(450);
        return unheard_since_ + limit < now;
    }
};

} // namespace samphire
