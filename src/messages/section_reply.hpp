#pragma once

#include "base/payload.hpp"
#include "base/revision.hpp"
#include "policy/policy_section.hpp"

#include <vector>

namespace samphire
{

/// Reports the policy revision in force at the sender. Includes the policy
/// document of the sender when that revision is higher than the revision of the
/// requester.
struct section_reply
{
    revision const revision_{};
    /// JSON text of the policy document without its service sections; empty
    /// when the requester has `revision_` or a higher revision.
    payload const base_document_{};
    /// Identifies all sections of the policy document, in document order.
    std::vector<policy_section> const sections_{};
    /// JSON text of each document section that the section_request did not
    /// list.
    std::vector<payload> const changed_sections_{};

    friend bool
    operator==(section_reply const&, section_reply const&) = default;
};

} // namespace samphire
