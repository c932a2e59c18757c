#pragma once

#include "quarantine/crash_suspect.hpp"

#include <vector>

namespace samphire
{

/// Reports requests that were in flight at an upstream when the upstream
/// crashed. A report with zero crashes clears the suspicion.
struct crash_suspects
{
    std::vector<crash_suspect> const suspects_{};

    friend bool
    operator==(crash_suspects const&, crash_suspects const&) = default;
};

} // namespace samphire
