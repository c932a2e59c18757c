#pragma once

#include "load_phase.hpp"
#include "load_route.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire::bench
{

/// Requests that the callers of a run send. Times count from the start of the
/// load.
struct load_plan
{
    std::vector<load_route> const routes_{};
    std::vector<load_phase> const phases_{};
    /// Nodes whose daemons the callers use; empty for all nodes.
    std::vector<std::size_t> const entries_{};
    /// Maximum number of resends of a failed request. A caller resends as soon
    /// as it has the answer.
    unsigned const max_resends_{};

    friend bool operator==(load_plan const&, load_plan const&) = default;
};

} // namespace samphire::bench
