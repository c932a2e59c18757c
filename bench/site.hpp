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
    /// Service at the end of the chain.
    std::string const deepest_{};
    /// Requests per second that the bottleneck can run.
    double const capacity_{};

    friend bool operator==(site const&, site const&) = default;
};

} // namespace samphire::bench
