#pragma once

#include "scenario/scenario_error.hpp"
#include "scenario/scenario_plan.hpp"

#include <boost/outcome/result.hpp>

#include <string_view>
#include <vector>

namespace samphire::scenario
{

using scenario_result =
    boost::outcome_v2::unchecked<scenario_plan, std::vector<scenario_error>>;

/// Parses the text of a scenario file; docs/scenarios.md describes the format.
/// Returns the plan, or an error for each invalid line.
scenario_result parse_scenario(std::string_view text);

} // namespace samphire::scenario
