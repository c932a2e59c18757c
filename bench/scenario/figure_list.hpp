#pragma once

#include "scenario/expectation.hpp"

#include <map>
#include <string>

namespace samphire::scenario
{

/// Figures of one run by name.
using figure_list = std::map<std::string, double>;

/// True when the figure exists and is within its bound.
inline bool
meets_expectation(expectation const& expected, figure_list const& figures)
{
    auto const found = figures.find(expected.figure_);
    if (found == figures.end())
        return false;
    if (expected.relation_ == "==")
        return found->second == expected.bound_;
    if (expected.relation_ == "<=")
        return found->second <= expected.bound_;
    return expected.relation_ == ">=" && found->second >= expected.bound_;
}

} // namespace samphire::scenario
