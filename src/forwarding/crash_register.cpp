#include "forwarding/crash_register.hpp"

namespace samphire
{

void crash_register::on_lost(std::uint64_t fingerprint, absl::Time now)
{
    if (lost_.size() >= capacity)
        lost_.pop_front();
    lost_.emplace_back(now, fingerprint);
}

std::vector<std::uint64_t> crash_register::on_upstream_down(absl::Time now)
{
    std::vector<std::uint64_t> result;
    for (auto const& [at, fingerprint] : lost_)
    {
        if (at + correlation >= now)
            result.push_back(fingerprint);
    }
    lost_.clear();
    return result;
}

void crash_register::on_crash(
    std::uint64_t fingerprint, std::uint64_t crash, absl::Time now)
{
    if (suspects_.size() >= capacity)
        absl::erase_if(
            suspects_,
            [&](auto const& entry)
            { return entry.second.last_ + memory <= now; });
    if (suspects_.size() >= capacity && !suspects_.contains(fingerprint))
        return;
    suspect& entry = suspects_[fingerprint];
    entry.crashes_.insert(crash);
    entry.last_ = now;
}

bool crash_register::refused(std::uint64_t fingerprint, absl::Time now) const
{
    auto const found = suspects_.find(fingerprint);
    return found != suspects_.end() &&
           found->second.crashes_.size() >= threshold_ &&
           found->second.last_ + memory > now;
}

} // namespace samphire
