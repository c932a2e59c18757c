#pragma once

#include <string>

namespace samphire::scenario
{

/// Name of a figure of a run, and the bound that the figure must meet.
struct expectation
{
    std::string const figure_{};
    /// Comparison of the figure with the bound: "==", "<=" or ">=".
    std::string const relation_{};
    double const bound_{};

    friend bool operator==(expectation const&, expectation const&) = default;
};

} // namespace samphire::scenario
