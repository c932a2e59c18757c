#include "quarantine/no_quarantine.hpp"

namespace samphire
{

static_assert(quarantine_policy<no_quarantine>);

suspicion no_quarantine::assess(fingerprint, absl::Time) const
{
    return suspicion::clear;
}

std::vector<crash_suspect>
no_quarantine::upstream_crashed(std::span<fingerprint const>, absl::Time)
{
    return {};
}

void no_quarantine::merge(crash_suspect const&, absl::Time)
{
}

bool no_quarantine::succeeded(fingerprint, absl::Time)
{
    return false;
}

std::vector<crash_suspect> no_quarantine::suspects(absl::Time) const
{
    return {};
}

} // namespace samphire
