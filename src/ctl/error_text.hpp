#pragma once

#include "policy/policy_error.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Returns one line "FIELD: RULE (found VALUE)" for each error.
std::string format_policy_errors(std::vector<policy_error> const& errors);

} // namespace samphire
