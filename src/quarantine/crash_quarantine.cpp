#include "quarantine/crash_quarantine.hpp"

#include <algorithm>

namespace samphire
{

static_assert(quarantine_policy<crash_quarantine>);

namespace
{

// Suspects and quarantined requests, 1,024 of each.
constexpr std::size_t capacity = 2048;
constexpr absl::Duration validity = absl::Minutes(10);

/// Only a crash of a request that ran alone is certain to be its own; a second
/// one is no accident of the upstream.
bool is_cause(std::uint32_t crashes, bool alone)
{
    return crashes >= 2 && alone;
}

} // namespace

suspicion crash_quarantine::assess(fingerprint request, absl::Time now) const
{
    auto const found = held_.find(request);
    if (found == held_.end() || found->second.until_ <= now)
        return suspicion::clear;
    return is_cause(found->second.crashes_, found->second.alone_)
               ? suspicion::quarantined
               : suspicion::suspect;
}

std::vector<crash_suspect> crash_quarantine::upstream_crashed(
    std::span<fingerprint const> in_flight, absl::Time now)
{
    std::vector<crash_suspect> result;
    bool const alone = in_flight.size() == 1;
    for (fingerprint const request : in_flight)
    {
        bool const known = assess(request, now) != suspicion::clear;
        std::uint32_t const before = known ? held_.at(request).crashes_ : 0;
        crash_suspect const suspect{request, before + 1, alone};
        hold(suspect, now);
        result.push_back(suspect);
    }
    return result;
}

void crash_quarantine::merge(crash_suspect const& suspect, absl::Time now)
{
    suspicion const known = assess(suspect.fingerprint_, now);
    if (known == suspicion::quarantined)
        return;
    if (suspect.crashes_ == 0)
    {
        held_.erase(suspect.fingerprint_);
        return;
    }
    // A repeated notice must not prolong the suspicion.
    bool const news =
        known == suspicion::clear ||
        suspect.crashes_ > held_.at(suspect.fingerprint_).crashes_;
    if (news)
        hold(suspect, now);
}

bool crash_quarantine::succeeded(fingerprint request, absl::Time now)
{
    if (held_.empty() || assess(request, now) != suspicion::suspect)
        return false;
    held_.erase(request);
    return true;
}

std::vector<crash_suspect> crash_quarantine::suspects(absl::Time now) const
{
    std::vector<fingerprint> requests;
    for (auto const& [request, state] : held_)
    {
        if (state.until_ > now)
            requests.push_back(request);
    }
    // The order in the hash map is not the same in every run.
    std::sort(requests.begin(), requests.end());
    std::vector<crash_suspect> result;
    for (fingerprint const request : requests)
    {
        suspect_state const& state = held_.at(request);
        result.push_back({request, state.crashes_, state.alone_});
    }
    return result;
}

void crash_quarantine::hold(crash_suspect const& suspect, absl::Time now)
{
    drop_oldest();
    held_.insert_or_assign(
        suspect.fingerprint_,
        suspect_state{suspect.crashes_, suspect.alone_, now + validity});
    order_.push_back(suspect.fingerprint_);
}

void crash_quarantine::drop_oldest()
{
    while (order_.size() >= capacity)
    {
        held_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace samphire
