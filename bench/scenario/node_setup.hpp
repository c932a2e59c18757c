#pragma once

#include "upstream_model.hpp"

#include <string>

namespace samphire::scenario
{

/// One VM of a scenario.
struct node_setup
{
    std::string const name_{};
    std::string const domain_{};
    fake::upstream_model const upstream_{};

    friend bool operator==(node_setup const&, node_setup const&) = default;
};

} // namespace samphire::scenario
