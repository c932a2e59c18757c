#pragma once

#include "membership/member_record.hpp"
#include "policy/policy_document.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace samphire
{

/// Formats the JSON body of GET /status.
std::string format_status_page(
    member_record const& self,
    revision policy_revision,
    std::vector<member_record> const& members,
    std::size_t unanswered_requests);

template <class Core>
std::string write_status_page(Core const& core)
{
    return format_status_page(
        core.members().self_record(),
        core.policy().revision_,
        core.members().records(),
        core.unanswered_count());
}

} // namespace samphire
