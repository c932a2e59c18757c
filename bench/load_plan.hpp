#pragma once

#include "load_phase.hpp"
#include "load_route.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire::bench
{

/// Routes, rates and resends of the requests that the callers of a run send.
/// The first phase begins at the start of the load.
struct load_plan
{
    std::vector<load_route> const routes_{};
    std::vector<load_phase> const phases_{};
    /// Indices of the nodes whose daemons the callers use; empty for all nodes.
    std::vector<std::size_t> const entries_{};
    /// Maximum number of times that a caller resends a failed request. The
    /// caller resends as soon as it has received the answer.
    unsigned const max_resends_{};

    friend bool operator==(load_plan const&, load_plan const&) = default;
};

} // namespace samphire::bench
