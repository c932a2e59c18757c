#pragma once

#include "quarantine/crash_suspect.hpp"

#include <vector>

namespace samphire
{

/// Reports the requests that were in flight at an upstream when it crashed.
struct crash_suspects
{
    std::vector<crash_suspect> const suspects_{};

    friend bool
    operator==(crash_suspects const&, crash_suspects const&) = default;
};

} // namespace samphire
