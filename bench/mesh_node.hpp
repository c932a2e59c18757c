#pragma once

#include "upstream_model.hpp"

#include <string>

namespace samphire::bench
{

/// Failure domain of a VM and properties of its upstream.
struct mesh_node
{
    std::string const domain_{};
    fake::upstream_model const model_{};

    friend bool operator==(mesh_node const&, mesh_node const&) = default;
};

} // namespace samphire::bench
