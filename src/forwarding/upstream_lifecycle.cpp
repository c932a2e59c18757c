#include "forwarding/upstream_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace samphire
{

upstream_lifecycle::upstream_lifecycle(
    endpoint daemon, endpoint upstream, std::string zone)
    : upstream_(upstream), record_{.daemon_ = daemon, .zone_ = std::move(zone)}
{
}

bool upstream_lifecycle::on_heartbeat(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    if (heartbeat.address_ != upstream_)
        return false;
    // Leaving is obeyed at once; opening waits until it is known whether an
    // earlier process of this daemon saw the upstream leave.
    if (!memory_complete_ && !heartbeat.draining_)
    {
        if (!held_ || held_->born_ <= heartbeat.born_)
            held_ = heartbeat;
        return false;
    }
    return apply(heartbeat, now);
}

bool upstream_lifecycle::apply(
    upstream_heartbeat const& heartbeat, absl::Time now)
{
    bool const same =
        heartbeat.id_ == record_.id_ && heartbeat.born_ == record_.born_;
    bool const older = heartbeat.born_ < record_.born_;
    bool const repeated = same && heartbeat.sequence_ <= sequence_;
    if (older || repeated)
        return false;
    if (same)
        sequence_ = heartbeat.sequence_;
    if (heartbeat.draining_)
    {
        remember_departed(heartbeat.id_, heartbeat.born_);
        if (same && record_.phase_ == upstream_phase::leaving)
            return false;
    }
    else if (departed(heartbeat.id_, heartbeat.born_))
        return false;
    upstream_record const before = record_;
    sequence_ = heartbeat.sequence_;
    record_.id_ = heartbeat.id_;
    record_.born_ = heartbeat.born_;
    record_.service_ = heartbeat.service_;
    record_.slots_ = heartbeat.slots_;
    record_.phase_ =
        heartbeat.draining_ ? upstream_phase::leaving : upstream_phase::ready;
    if (!same)
        warm_at_ = now + heartbeat.warmup_;
    return record_ != before;
}

bool upstream_lifecycle::on_removal(upstream_id const& id, absl::Time now)
{
    bool const current = id == record_.id_;
    // A later start under the same id has a later time of birth.
    remember_departed(id, current ? record_.born_ : absl::ToUnixMillis(now));
    if (held_ && held_->id_ == id)
        held_.reset();
    if (!current || record_.phase_ == upstream_phase::leaving)
        return false;
    record_.phase_ = upstream_phase::leaving;
    return true;
}

bool upstream_lifecycle::on_remembered(
    upstream_record const& record, absl::Time)
{
    if (record.id_.empty() || record.daemon_ != record_.daemon_)
        return false;
    bool const leaving = record.phase_ == upstream_phase::leaving;
    if (leaving)
        remember_departed(record.id_, record.born_);
    bool const same =
        record.id_ == record_.id_ && record.born_ == record_.born_;
    if (same && leaving && record_.phase_ != upstream_phase::leaving)
    {
        record_.phase_ = upstream_phase::leaving;
        return true;
    }
    if (same || record.born_ < record_.born_ ||
        departed(record.id_, record.born_) != leaving)
        return false;
    record_ = record;
    sequence_ = 0;
    return true;
}

bool upstream_lifecycle::on_memory_complete(absl::Time now)
{
    if (std::exchange(memory_complete_, true))
        return false;
    if (!held_)
        return false;
    upstream_heartbeat const heartbeat = *std::exchange(held_, std::nullopt);
    return apply(heartbeat, now);
}

bool upstream_lifecycle::departed(
    upstream_id const& id, std::int64_t born) const
{
    auto const found = departed_.find(id);
    return found != departed_.end() && born <= found->second;
}

void upstream_lifecycle::remember_departed(
    upstream_id const& id, std::int64_t born)
{
    // Upstreams of one VM follow each other slowly; the oldest start goes.
    if (departed_.size() >= departed_capacity)
        departed_.erase(std::min_element(
            departed_.begin(),
            departed_.end(),
            [](auto const& left, auto const& right)
            { return left.second < right.second; }));
    std::int64_t& latest = departed_[id];
    latest = std::max(latest, born);
}

} // namespace samphire
