#pragma once

#include "policy/policy_document.hpp"
#include "policy/policy_error.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

using policy_parse_result =
    boost::outcome_v2::unchecked<policy_document, std::vector<policy_error>>;

/// Reads and checks a document; every broken rule is reported at once. Lists
/// of the result are ordered by name, so documents that say the same are equal.
policy_parse_result parse_policy(std::string_view json);

/// Canonical JSON of the document, with a final line end: every field stated,
/// lists ordered by name.
std::string format_policy(policy_document const& document);

/// Canonical JSON of the section of one service.
std::string format_service(service_policy const& service);

} // namespace samphire
