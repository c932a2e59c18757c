#include "quarantine/no_quarantine.hpp"

namespace samphire
{

static_assert(quarantine_policy<no_quarantine>);

suspicion no_quarantine::assess(fingerprint, absl::Time) const
{
    return suspicion::clear;
}

std::vector<crash_suspect>
no_quarantine::on_upstream_crash(std::span<fingerprint const>, absl::Time)
{
    return {};
}

void no_quarantine::merge(crash_suspect const&, absl::Time)
{
}

bool no_quarantine::on_request_completed(fingerprint, absl::Time)
{
    return false;
}

std::vector<crash_suspect> no_quarantine::suspects(absl::Time) const
{
    return {};
}

} // namespace samphire
