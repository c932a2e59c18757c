#pragma once

#include <cstddef>
#include <string>

namespace samphire::scenario
{

/// Line number of an invalid line of a scenario file, and the rule that the
/// line violates.
struct scenario_error
{
    std::size_t const line_{};
    std::string const rule_{};

    friend bool
    operator==(scenario_error const&, scenario_error const&) = default;
};

} // namespace samphire::scenario
