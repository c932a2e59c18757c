#include "forwarding/departed_processes.hpp"

namespace samphire
{

void departed_processes::add_unknown_process(
    upstream_id const& id, absl::Time now)
{
    if (removal_times_.size() >= max_removal_times)
        absl::erase_if(
            removal_times_,
            [&](auto const& entry) { return !may_contain(entry.first, now); });
    if (removal_times_.size() < max_removal_times ||
        removal_times_.contains(id))
        removal_times_[id] = now;
}

bool departed_processes::contains(
    upstream_process const& process, absl::Time now) const
{
    auto const removal = removal_times_.find(process.id_);
    return processes_.contains(process) ||
           (removal != removal_times_.end() &&
            now < removal->second + blocking_period);
}

bool departed_processes::may_contain(
    upstream_id const& id, absl::Time now) const
{
    auto const removal = removal_times_.find(id);
    return removal != removal_times_.end() &&
           now < removal->second + max_heartbeat_delay;
}

} // namespace samphire
