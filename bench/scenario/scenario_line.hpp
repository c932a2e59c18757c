#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace samphire::scenario
{

/// Words and key=value options of one line of a scenario file.
struct scenario_line
{
    std::size_t const number_{};
    std::vector<std::string> const words_{};
    std::map<std::string, std::string> const options_{};

    friend bool
    operator==(scenario_line const&, scenario_line const&) = default;
};

} // namespace samphire::scenario
