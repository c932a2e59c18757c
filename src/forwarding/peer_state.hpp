#pragma once

#include "forwarding/load_report.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// State of another daemon and of the upstream that the other daemon guards, as
/// far as this daemon knows it.
struct peer_state
{
    upstream_record record_{};
    /// Latest revision of the record that was read from the store; 0 for none.
    std::uint64_t stored_revision_{};
    /// Incarnation of the other daemon's process; 0 when unknown.
    std::uint64_t incarnation_{};
    bool connected_{};
    /// Whether the other daemon is about to stop and will soon accept no new
    /// work.
    bool is_stopping_{};
    /// Whether the other daemon reaches the store, as far as it has said.
    bool reaches_store_{true};
    load_report load_{};
    /// Last known rate limit of the upstream; outlives the daemon's process.
    rate_limit rate_limit_{};
    /// Time at which `load_` arrived; infinite past before the first report.
    absl::Time load_report_time_{absl::InfinitePast()};
    /// Number of requests that this daemon has sent to the other daemon and
    /// that have not ended.
    std::uint32_t in_flight_requests_{};
    /// Value of `in_flight_requests_` when the last load report arrived.
    std::uint32_t in_flight_requests_at_report_{};
    absl::Time last_sent_{absl::InfinitePast()};
    /// Time at which the first request was sent after the last message from the
    /// other daemon; infinite when no request was sent since that message.
    absl::Time awaiting_reply_since_{absl::InfiniteFuture()};
    /// The other daemon is not chosen before this time, even if its load
    /// reports say that it accepts work, because it returned a request
    /// unexecuted.
    absl::Time cooldown_until_{absl::InfinitePast()};

    /// Whether the other daemon was sent a request and then sent nothing for
    /// three ping intervals, so that its link may be broken.
    bool is_silent(absl::Time now) const
    {
        constexpr absl::Duration max_silence = absl::Milliseconds(450);
        return awaiting_reply_since_ + max_silence < now;
    }
};

} // namespace samphire
