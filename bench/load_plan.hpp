#pragma once

#include "load_phase.hpp"
#include "load_route.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire::bench
{

/// What the callers of a run send. Times count from the start of the load.
struct load_plan
{
    std::vector<load_route> const routes_{};
    std::vector<load_phase> const phases_{};
    /// Nodes that callers send to; empty for all.
    std::vector<std::size_t> const entries_{};
    /// How often a caller sends a failed request again, at once.
    unsigned const resends_{};

    friend bool operator==(load_plan const&, load_plan const&) = default;
};

} // namespace samphire::bench
