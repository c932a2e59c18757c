#pragma once

#include "policy/policy_document.hpp"
#include "policy/policy_error.hpp"

#include <vector>

namespace samphire
{

/// Returns an error for each call by a repeatable route to an unrepeatable one,
/// because a retry of the parent would run the child again. A route that the
/// document does not name is unrepeatable.
std::vector<policy_error> check_call_graph(policy_document const& document);

} // namespace samphire
