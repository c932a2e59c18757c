#pragma once

#include "load/load_plan.hpp"
#include "settings/setting_definition.hpp"
#include "settings/setting_values.hpp"

#include <boost/outcome/result.hpp>

#include <span>
#include <string>

namespace samphire
{

/// The plan, or an error text that names a setting and the rule that the
/// setting breaks.
using load_plan_result = boost::outcome_v2::unchecked<load_plan, std::string>;

/// Returns the names, defaults and rules of the settings of samphire-load.
std::span<setting_definition const> load_setting_definitions();

load_plan_result load_plan_from(setting_values const& values);

} // namespace samphire
