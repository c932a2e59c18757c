#include "forwarding/crash_register.hpp"

namespace samphire
{

void crash_register::on_connection_lost(
    std::uint64_t fingerprint, absl::Time now)
{
    if (lost_requests_.size() >= max_requests)
        lost_requests_.pop_front();
    lost_requests_.emplace_back(now, fingerprint);
}

std::vector<std::uint64_t> crash_register::on_upstream_down(absl::Time now)
{
    std::vector<std::uint64_t> result;
    for (auto const& [at, fingerprint] : lost_requests_)
    {
        if (at + correlation_window >= now)
            result.push_back(fingerprint);
    }
    lost_requests_.clear();
    return result;
}

void crash_register::on_crash(
    std::uint64_t fingerprint, std::uint64_t crash_id, absl::Time now)
{
    if (suspects_.size() >= max_requests)
        absl::erase_if(
            suspects_,
            [&](auto const& entry) {
                return entry.second.last_crash_time_ + suspect_lifetime <= now;
            });
    if (suspects_.size() >= max_requests && !suspects_.contains(fingerprint))
        return;
    suspect& entry = suspects_[fingerprint];
    entry.crash_ids_.insert(crash_id);
    entry.last_crash_time_ = now;
}

bool crash_register::is_refused(std::uint64_t fingerprint, absl::Time now) const
{
    auto const found = suspects_.find(fingerprint);
    return found != suspects_.end() &&
           found->second.crash_ids_.size() >= crash_threshold_ &&
           found->second.last_crash_time_ + suspect_lifetime > now;
}

} // namespace samphire
