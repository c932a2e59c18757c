#include "forwarding/upstream_lifecycle.hpp"

#include "forwarding/process_of.hpp"
#include "forwarding/start_time_check.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

namespace
{

/// Difference between the clocks that two processes of one VM read at their
/// starts: the time of day may be set forward or back by seconds in between.
constexpr absl::Duration max_clock_step = absl::Seconds(10);

/// Time after the start of this process in which the heartbeats of an upstream
/// that answers no health checks may be late ones.
constexpr absl::Duration max_heartbeat_delay = absl::Seconds(6);
/// Unanswered health checks that show that an upstream answers none. A single
/// answer may have been broken off.
constexpr int min_unanswered_checks = 3;

} // namespace

upstream_lifecycle::upstream_lifecycle(
    endpoint daemon, endpoint upstream, std::string zone, absl::Time started_at)
    : upstream_address_(upstream),
      started_at_(started_at), record_{
                                   .daemon_ = daemon, .zone_ = std::move(zone)}
{
}

std::string_view upstream_lifecycle::defect_of(
    upstream_heartbeat const& heartbeat, absl::Time now) const
{
    if (heartbeat.address_ != upstream_address_)
        return "address: must be that of the local upstream";
    if (!is_plausible_start(heartbeat.start_time_ms_, now))
        return "born: must not lie in the future";
    return {};
}

bool upstream_lifecycle::on_heartbeat(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    if (!defect_of(heartbeat, now).empty())
        return false;
    // A draining heartbeat takes effect at once. Any other heartbeat waits
    // until it is known whether an earlier process of this daemon saw the
    // upstream leave.
    if (!record_recovery_complete_ && !heartbeat.draining_)
    {
        pending_heartbeat_ = heartbeat;
        return false;
    }
    return apply_heartbeat(heartbeat, now);
}

bool upstream_lifecycle::apply_heartbeat(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    upstream_process const process = process_of(heartbeat);
    if (process == process_of(record_))
        return apply_heartbeat_of_current(heartbeat, now);
    if (heartbeat.draining_)
    {
        departed_.add(process);
        // Requests name the id of the current process, so a process with
        // another id does not run them.
        bool const may_get_requests =
            record_.id_.empty() || process.id_ == record_.id_;
        if (!may_get_requests)
            return false;
        replace_current(heartbeat, now);
        return true;
    }
    if (departed_.contains(process, now))
        return false;
    if (!has_replaced_current(process, now))
    {
        note_contender(heartbeat, now);
        return false;
    }
    replace_current(heartbeat, now);
    return true;
}

bool upstream_lifecycle::apply_heartbeat_of_current(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    // Draining is final, so it is applied whatever was heard before it.
    if (heartbeat.sequence_ <= last_sequence_ && !heartbeat.draining_)
        return false;
    last_sequence_ = std::max(last_sequence_, heartbeat.sequence_);
    contender_.reset();
    if (heartbeat.draining_)
        return close_current();
    if (departed_.contains(process_of(record_), now))
        return false;
    upstream_record const before = record_;
    record_.service_ = heartbeat.service_;
    record_.slots_ = heartbeat.slots_;
    record_.phase_ = upstream_phase::ready;
    return record_ != before;
}

bool upstream_lifecycle::may_have_left(
    upstream_process const& process, absl::Time now) const
{
    return departed_.may_contain(process.id_, now) ||
           absl::FromUnixMillis(process.start_time_ms_) <=
               started_at_ + max_clock_step;
}

bool upstream_lifecycle::has_replaced_current(
    upstream_process const& process, absl::Time now) const
{
    bool const current_has_left =
        record_.phase_ == upstream_phase::leaving && process.id_ != record_.id_;
    // A later start time is believed at once; should the clock have been ahead
    // at that start, the process that is running contends again.
    bool const starts_later = process.start_time_ms_ > record_.start_time_ms_ &&
                              !superseded_.contains(process);
    return !may_have_left(process, now) &&
           (record_.id_.empty() || current_has_left || starts_later);
}

void upstream_lifecycle::note_contender(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    health_check_due_ = true;
    if (contender_ && contender_->process() == process_of(heartbeat))
        contender_->on_heartbeat(heartbeat, now);
    else
        contender_.emplace(heartbeat, now);
}

bool upstream_lifecycle::is_check_decisive() const
{
    if (!contender_ || record_.phase_ != upstream_phase::ready)
        return contender_.has_value();
    // A health check names only an id, which two processes may share, and the
    // late heartbeats of predecessors are not worth a check each.
    upstream_process const process = contender_->process();
    bool const is_successor = process.id_ != record_.id_ &&
                              process.start_time_ms_ > record_.start_time_ms_;
    return is_successor || contender_->has_outlasted_known();
}

void upstream_lifecycle::replace_current(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    if (!record_.id_.empty())
        superseded_.add(process_of(record_));
    last_sequence_ = heartbeat.sequence_;
    record_.id_ = heartbeat.id_;
    record_.start_time_ms_ = heartbeat.start_time_ms_;
    record_.service_ = heartbeat.service_;
    record_.slots_ = heartbeat.slots_;
    record_.phase_ =
        heartbeat.draining_ ? upstream_phase::leaving : upstream_phase::ready;
    warmup_end_ = now + heartbeat.remaining_warmup_;
    contender_.reset();
}

bool upstream_lifecycle::on_healthy(upstream_id const& id, absl::Time now)
{
    if (contender_ && contender_->process().id_ != id)
        contender_->on_check_answered();
    if (!is_check_decisive() || contender_->process().id_ != id ||
        departed_.contains(contender_->process(), now))
        return false;
    replace_current(contender_->last_heartbeat(), now);
    return true;
}

void upstream_lifecycle::on_health_check_refused()
{
    if (contender_)
        contender_->on_check_answered();
}

bool upstream_lifecycle::on_health_check_unanswered(absl::Time now)
{
    if (contender_)
        contender_->on_check_unanswered();
    if (!is_check_decisive() || !is_heartbeat_decisive(now))
        return false;
    replace_current(contender_->last_heartbeat(), now);
    return true;
}

bool upstream_lifecycle::is_heartbeat_decisive(absl::Time now) const
{
    upstream_process const process = contender_->process();
    if (departed_.contains(process, now) ||
        departed_.may_contain(process.id_, now))
        return false;
    if (!has_earlier_process_)
        return contender_->has_not_answered(1);
    return contender_->has_not_answered(min_unanswered_checks) &&
           now >= started_at_ + max_heartbeat_delay;
}

std::optional<service_name> upstream_lifecycle::due_health_check() const
{
    if (!health_check_due_ || !is_check_decisive())
        return std::nullopt;
    return contender_->last_heartbeat().service_;
}

bool upstream_lifecycle::on_record_recovery_complete(absl::Time now)
{
    if (std::exchange(record_recovery_complete_, true))
        return false;
    if (!pending_heartbeat_)
        return false;
    upstream_heartbeat const heartbeat =
        *std::exchange(pending_heartbeat_, std::nullopt);
    return apply_heartbeat(heartbeat, now);
}

} // namespace samphire
