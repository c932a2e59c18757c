#pragma once

#include "scenario/expectation.hpp"

#include <map>
#include <string>

namespace samphire::scenario
{

/// Values of the figures of one run, by the name of the figure.
using figure_list = std::map<std::string, double>;

/// Returns whether the list contains the expected figure and its value meets
/// the bound.
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
