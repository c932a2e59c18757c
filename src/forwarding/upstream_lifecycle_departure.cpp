#include "forwarding/process_of.hpp"
#include "forwarding/start_time_check.hpp"
#include "forwarding/upstream_lifecycle.hpp"

#include <utility>

// Member functions of upstream_lifecycle for departures, and for the records of
// an earlier process of the daemon.

namespace samphire
{

bool upstream_lifecycle::close_current()
{
    departed_.add(process_of(record_));
    if (record_.phase_ == upstream_phase::leaving)
        return false;
    record_.phase_ = upstream_phase::leaving;
    return true;
}

void upstream_lifecycle::replace_current_with_departed(
    upstream_record const& record)
{
    departed_.add(process_of(record));
    record_ = record;
    record_.phase_ = upstream_phase::leaving;
}

bool upstream_lifecycle::on_removal(upstream_id const& id, absl::Time now)
{
    std::optional<upstream_heartbeat> heard;
    if (pending_heartbeat_ && pending_heartbeat_->id_ == id)
        heard = std::exchange(pending_heartbeat_, std::nullopt);
    if (contender_ && contender_->process().id_ == id)
    {
        heard = contender_->last_heartbeat();
        contender_.reset();
    }
    if (heard)
        departed_.add(process_of(*heard));
    if (id == record_.id_)
        return close_current();
    if (!heard)
        departed_.add_unknown_process(id, now);
    // Requests name the id of the current upstream, so another one that leaves
    // does not get them.
    if (record_.phase_ == upstream_phase::ready)
        return false;
    if (heard)
    {
        heard->draining_ = true;
        replace_current(*heard, now);
        return true;
    }
    if (recovered_record_ && recovered_record_->id_ == id)
    {
        replace_current_with_departed(*recovered_record_);
        return true;
    }
    if (!record_.id_.empty())
        return false;
    record_.id_ = id;
    record_.phase_ = upstream_phase::leaving;
    return true;
}

bool upstream_lifecycle::on_leaving_answer()
{
    return close_current();
}

bool upstream_lifecycle::on_recovered_record(
    upstream_record const& record, absl::Time now)
{
    if (record.id_.empty() || record.daemon_ != record_.daemon_ ||
        !is_plausible_start(record.start_time_ms_, now))
        return false;
    if (record.phase_ != upstream_phase::leaving)
        return on_recovered_usable_record(record);
    if (names_only_id(record))
        departed_.add_unknown_process(record.id_, now);
    else
        departed_.add(process_of(record));
    if (is_same_process(record, record_))
        return close_current();
    bool const is_completed =
        names_only_id(record_) && record_.id_ == record.id_;
    if (!record_.id_.empty() && !is_completed)
        return false;
    record_ = record;
    return true;
}

bool upstream_lifecycle::on_recovered_usable_record(
    upstream_record const& record)
{
    bool const has_left = names_only_id(record_) && record_.id_ == record.id_;
    if (has_left)
        replace_current_with_departed(record);
    else
        recovered_record_ = record;
    return has_left;
}

} // namespace samphire
