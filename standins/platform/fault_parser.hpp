#pragma once

#include "platform/fault_plan.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace samphire::standin
{

/// The faults, or an error text that names a field and the rule that the field
/// violates.
using fault_parse_result =
    boost::outcome_v2::unchecked<fault_plan, std::string>;

/// Reads the JSON body of POST /control: outage ("none", "refuse", "silent"),
/// delay_ms, lost_percent and lost_count; an absent field means no such fault.
fault_parse_result parse_faults(std::string_view body);

} // namespace samphire::standin
