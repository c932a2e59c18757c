#pragma once

#include "policy/policy_change.hpp"
#include "policy/policy_document.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Returns the fields that differ between two policy documents, ordered by
/// path. Lists that have the same entries in a different order are equal.
std::vector<policy_change>
policy_difference(policy_document const& before, policy_document const& after);

/// Returns one line "FIELD: BEFORE -> AFTER" for each change.
std::string format_difference(std::vector<policy_change> const& changes);

} // namespace samphire
