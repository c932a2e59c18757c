#pragma once

#include <cstddef>
#include <string>

namespace samphire::scenario
{

/// Reason why a line of a scenario file is invalid.
struct scenario_error
{
    std::size_t const line_{};
    std::string const rule_{};

    friend bool
    operator==(scenario_error const&, scenario_error const&) = default;
};

} // namespace samphire::scenario
