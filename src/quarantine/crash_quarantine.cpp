#include "quarantine/crash_quarantine.hpp"

#include <algorithm>

namespace samphire
{

static_assert(quarantine_policy<crash_quarantine>);

namespace
{

// Capacity for suspects and quarantined requests together, 1,024 of each.
constexpr std::size_t max_entries = 2048;
constexpr absl::Duration entry_lifetime = absl::Minutes(10);

/// Returns true when the request certainly causes crashes. Only a crash during
/// which a request ran alone was certainly caused by that request, and only a
/// second crash rules out an unrelated failure of the upstream.
bool is_crash_cause(std::uint32_t crashes, bool ran_alone)
{
    return crashes >= 2 && ran_alone;
}

} // namespace

suspicion crash_quarantine::assess(fingerprint request, absl::Time now) const
{
    auto const found = suspects_.find(request);
    if (found == suspects_.end() || found->second.expires_at_ <= now)
        return suspicion::clear;
    return is_crash_cause(found->second.crashes_, found->second.ran_alone_)
               ? suspicion::quarantined
               : suspicion::suspect;
}

std::vector<crash_suspect> crash_quarantine::on_upstream_crash(
    std::span<fingerprint const> in_flight, absl::Time now)
{
    std::vector<crash_suspect> result;
    bool const ran_alone = in_flight.size() == 1;
    for (fingerprint const request : in_flight)
    {
        bool const is_known = assess(request, now) != suspicion::clear;
        std::uint32_t const earlier_crashes =
            is_known ? suspects_.at(request).crashes_ : 0;
        crash_suspect const suspect{request, earlier_crashes + 1, ran_alone};
        store_suspect(suspect, now);
        result.push_back(suspect);
    }
    return result;
}

void crash_quarantine::merge(crash_suspect const& suspect, absl::Time now)
{
    suspicion const known_suspicion = assess(suspect.fingerprint_, now);
    if (known_suspicion == suspicion::quarantined)
        return;
    if (suspect.crashes_ == 0)
    {
        suspects_.erase(suspect.fingerprint_);
        return;
    }
    // A repeated notice must not extend the time of the suspicion.
    bool const is_new =
        known_suspicion == suspicion::clear ||
        suspect.crashes_ > suspects_.at(suspect.fingerprint_).crashes_;
    if (is_new)
        store_suspect(suspect, now);
}

bool crash_quarantine::on_request_completed(fingerprint request, absl::Time now)
{
    if (suspects_.empty() || assess(request, now) != suspicion::suspect)
        return false;
    suspects_.erase(request);
    return true;
}

std::vector<crash_suspect> crash_quarantine::suspects(absl::Time now) const
{
    std::vector<fingerprint> requests;
    for (auto const& [request, entry] : suspects_)
    {
        if (entry.expires_at_ > now)
            requests.push_back(request);
    }
    // Sorted, because the order of the hash map differs between runs.
    std::sort(requests.begin(), requests.end());
    std::vector<crash_suspect> result;
    for (fingerprint const request : requests)
    {
        suspect_entry const& entry = suspects_.at(request);
        result.push_back({request, entry.crashes_, entry.ran_alone_});
    }
    return result;
}

void crash_quarantine::store_suspect(
    crash_suspect const& suspect, absl::Time now)
{
    remove_oldest_if_full();
    suspects_.insert_or_assign(
        suspect.fingerprint_,
        suspect_entry{
            suspect.crashes_, suspect.ran_alone_, now + entry_lifetime});
    insertion_order_.push_back(suspect.fingerprint_);
}

void crash_quarantine::remove_oldest_if_full()
{
    while (insertion_order_.size() >= max_entries)
    {
        suspects_.erase(insertion_order_.front());
        insertion_order_.pop_front();
    }
}

} // namespace samphire
