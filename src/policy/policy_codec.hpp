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

/// Parses and checks a policy document; every broken rule is reported at once.
/// The lists of the result are ordered by name, so that equivalent documents
/// are equal.
policy_parse_result parse_policy(std::string_view json);

/// Returns the canonical JSON of the document: every field present, lists
/// ordered by name, and a final newline.
std::string format_policy(policy_document const& document);

/// Returns the canonical JSON of the section of one service.
std::string format_service(service_policy const& service);

} // namespace samphire
