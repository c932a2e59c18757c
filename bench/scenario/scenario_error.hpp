#pragma once

#include <cstddef>
#include <string>

namespace samphire::scenario
{

/// A line of a scenario file that was refused.
struct scenario_error
{
    std::size_t const line_{};
    std::string const rule_{};

    friend bool
    operator==(scenario_error const&, scenario_error const&) = default;
};

} // namespace samphire::scenario
