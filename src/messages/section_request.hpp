#pragma once

#include "base/revision.hpp"
#include "policy/policy_section.hpp"

#include <vector>

namespace samphire
{

/// Asks a peer for the policy document of the peer if the revision of that
/// document is higher than `known_revision_`.
struct section_request
{
    revision const known_revision_{};
    /// Identifies the sections that the requester has and the reply may omit;
    /// empty to request all sections.
    std::vector<policy_section> const sections_{};

    friend bool
    operator==(section_request const&, section_request const&) = default;
};

} // namespace samphire
