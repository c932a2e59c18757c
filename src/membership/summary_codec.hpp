#pragma once

#include "membership/member_record.hpp"
#include "membership/summary_error.hpp"

#include <boost/outcome/result.hpp>

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

using summary_result =
    boost::outcome_v2::unchecked<std::vector<member_record>, summary_error>;
using domain_list_result =
    boost::outcome_v2::unchecked<std::set<domain_name>, summary_error>;

/// Returns the JSON text of the object "summary/<domain>", with one array for
/// each member. A member with an id of 20 characters takes about 90 bytes.
std::string format_summary(
    domain_name const& domain, std::vector<member_record> const& members);
summary_result parse_summary(domain_name const& domain, std::string_view text);

/// Returns the JSON text of the object "domains", which lists all failure
/// domains that have a summary, because the object API cannot list names.
std::string format_domains(std::set<domain_name> const& domains);
domain_list_result parse_domains(std::string_view text);

} // namespace samphire
