#pragma once

#include "upstream/upstream_control.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace samphire::standin
{

/// The commands, or an error text that names a field and the rule that the
/// field violates.
using control_parse_result =
    boost::outcome_v2::unchecked<upstream_control, std::string>;

/// Reads the JSON body of POST /control: slowdown (0.01 to 10000), drain,
/// crash; an absent field has its default.
control_parse_result parse_control(std::string_view body);

} // namespace samphire::standin
