#pragma once

#include "load_route.hpp"
#include "mesh_node.hpp"

#include <string>
#include <vector>

namespace samphire::bench
{

/// A deployment with a call chain whose last service is its bottleneck.
struct site
{
    std::string const name_{};
    std::vector<mesh_node> const nodes_{};
    std::vector<load_route> const routes_{};
    /// Last service of the call chain.
    std::string const bottleneck_service_{};
    /// Maximum number of requests per second that the bottleneck can complete.
    double const capacity_per_s_{};

    friend bool operator==(site const&, site const&) = default;
};

} // namespace samphire::bench
