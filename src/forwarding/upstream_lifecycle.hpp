#pragma once

#include "base/endpoint.hpp"
#include "forwarding/departed_processes.hpp"
#include "forwarding/process_contender.hpp"
#include "forwarding/process_history.hpp"
#include "forwarding/upstream_heartbeat.hpp"
#include "forwarding/upstream_process.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Decides which upstream process on this daemon's VM accepts work, from the
/// heartbeats of the upstreams, which may arrive late, from health checks, and
/// from the records of an earlier process of this daemon. An upstream that
/// announced its departure never becomes ready again. A departure that an
/// earlier process acknowledged may be missing in every record that outlived
/// that process, and heartbeats may have been sent before it, however many
/// arrive. An upstream that can have started before this process therefore
/// becomes ready only once it has answered a health check of this process. One
/// that answers none at all becomes ready after some seconds of heartbeats.
class upstream_lifecycle
{
public:
    /// `daemon`: address at which this daemon receives messages of other
    /// daemons; `upstream`: address of the upstream on the same VM;
    /// `started_at`: time at which this process of the daemon started.
    upstream_lifecycle(
        endpoint daemon,
        endpoint upstream,
        std::string zone,
        absl::Time started_at);

    /// Returns why the heartbeat does not describe the local upstream and is
    /// not applied; empty if it does.
    std::string_view
    defect_of(upstream_heartbeat const& heartbeat, absl::Time now) const;

    /// Applies a heartbeat of an upstream on this VM. This function and the
    /// `on_` functions below return true when record() changed.
    bool on_heartbeat(upstream_heartbeat const& heartbeat, absl::Time now);
    /// Called when the upstream announced its departure without a draining
    /// heartbeat. Changes record() even if this process has not heard of the
    /// upstream yet, so that its peers and the store hold the departure too.
    bool on_removal(upstream_id const& id, absl::Time now);
    /// Called when the upstream `id` stated in a health check that it is not
    /// leaving.
    bool on_healthy(upstream_id const& id, absl::Time now);
    /// Called when a health check had an answer other than on_healthy() takes.
    void on_health_check_refused();
    /// Called when a health check had no answer.
    bool on_health_check_unanswered(absl::Time now);
    /// Called when an answer of the upstream stated that the upstream is
    /// leaving, whatever its heartbeats state.
    bool on_leaving_answer();
    /// Applies a record of the local upstream that was read from the store or
    /// sent by a peer. Such a record closes an upstream that was leaving, and
    /// completes a departure that named only an id; it never opens one.
    bool on_recovered_record(upstream_record const& record, absl::Time now);
    /// Called when no more records of an earlier process of this daemon are
    /// expected. Applies the heartbeat that was held back until then.
    bool on_record_recovery_complete(absl::Time now);
    /// Called when the store has no trace of an earlier process of this daemon.
    void on_no_earlier_process()
    {
        has_earlier_process_ = false;
    }

    upstream_record const& record() const
    {
        return record_;
    }

    /// Returns the process that sends heartbeats and is not yet known to run.
    std::optional<upstream_process> unconfirmed_process() const
    {
        if (!contender_)
            return std::nullopt;
        return contender_->process();
    }

    /// Returns the service of an upstream that a health check can open; nothing
    /// when no check is due. Each heartbeat has one check at most made.
    std::optional<service_name> due_health_check() const;
    void on_health_check_started()
    {
        health_check_due_ = false;
    }

    bool is_record_recovery_complete() const
    {
        return record_recovery_complete_;
    }

    /// Returns the time at which the upstream has warmed up; the upstream is
    /// slow until then.
    absl::Time warmup_end() const
    {
        return warmup_end_;
    }

private:
    bool apply_heartbeat(upstream_heartbeat const& heartbeat, absl::Time now);
    bool apply_heartbeat_of_current(
        upstream_heartbeat const& heartbeat, absl::Time now);
    /// Whether the departure of the upstream process may have been acknowledged
    /// without this process knowing it.
    bool may_have_left(upstream_process const& process, absl::Time now) const;
    /// Whether the heartbeat alone shows that its sender has replaced the
    /// current process.
    bool
    has_replaced_current(upstream_process const& process, absl::Time now) const;
    /// Notes a heartbeat that is not believed before a health check.
    void note_contender(upstream_heartbeat const& heartbeat, absl::Time now);
    /// Whether the contender becomes current with its answer to a health check.
    bool is_check_decisive() const;
    /// Whether the contender answers no health checks, and late heartbeats are
    /// no longer expected.
    bool is_heartbeat_decisive(absl::Time now) const;
    void replace_current(upstream_heartbeat const& heartbeat, absl::Time now);
    /// Returns true when the current process was not leaving before.
    bool close_current();
    /// Makes the record of an upstream that is leaving the current one.
    void replace_current_with_departed(upstream_record const& record);
    /// Applies a record that says nothing of a departure. Returns true when it
    /// completes a departure that named only an id.
    bool on_recovered_usable_record(upstream_record const& record);

    endpoint const upstream_address_;
    absl::Time const started_at_;
    bool has_earlier_process_{true};
    upstream_record record_;
    /// Sequence number of the last applied heartbeat of the upstream in
    /// `record_`.
    std::int64_t last_sequence_{};
    bool record_recovery_complete_{};
    /// Heartbeat that is held back until recovery is complete.
    std::optional<upstream_heartbeat> pending_heartbeat_;
    absl::Time warmup_end_{absl::InfinitePast()};
    departed_processes departed_;
    /// Processes that were current before.
    process_history superseded_;
    /// Upstream that an earlier process of this daemon knew.
    std::optional<upstream_record> recovered_record_;
    std::optional<process_contender> contender_;
    bool health_check_due_{};
};

} // namespace samphire
