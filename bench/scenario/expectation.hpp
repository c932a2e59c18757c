#pragma once

#include <string>

namespace samphire::scenario
{

/// Bound on one figure of a run.
struct expectation
{
    std::string const figure_{};
    /// "==", "<=" or ">=".
    std::string const relation_{};
    double const bound_{};

    friend bool operator==(expectation const&, expectation const&) = default;
};

} // namespace samphire::scenario
