#pragma once

#include "upstream_model.hpp"

#include <string>

namespace samphire::scenario
{

/// Name and failure domain of a VM in a scenario, and properties of its
/// upstream.
struct node_setup
{
    std::string const name_{};
    std::string const domain_{};
    fake::upstream_model const upstream_{};

    friend bool operator==(node_setup const&, node_setup const&) = default;
};

} // namespace samphire::scenario
