#pragma once

#include "upstream_model.hpp"

#include <string>

namespace samphire::bench
{

/// A VM with its upstream, as part of a topology.
struct mesh_node
{
    std::string const domain_{};
    fake::upstream_model const model_{};

    friend bool operator==(mesh_node const&, mesh_node const&) = default;
};

} // namespace samphire::bench
