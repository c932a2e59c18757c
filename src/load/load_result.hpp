#pragma once

#include "load/load_plan.hpp"
#include "load/recovery_record.hpp"
#include "load/route_record.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Returns a human-readable table with a line for each route.
std::string format_load_table(
    load_plan const& plan, std::vector<route_record> const& records);

/// Returns the results of all routes as one line of JSON, with the recovery
/// time if the plan has the end of a fault.
std::string format_load_json(
    load_plan const& plan,
    std::vector<route_record> const& records,
    recovery_record const& recovery);

} // namespace samphire
