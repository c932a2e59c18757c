#pragma once

#include "base/revision.hpp"
#include "policy/policy_section.hpp"

#include <vector>

namespace samphire
{

/// Asks a peer for the policy document in force at the peer, if the revision of
/// that document is higher than `known_revision_`. The reply omits the sections
/// of the document that `sections_` lists.
struct section_request
{
    revision const known_revision_{};
    /// Identifies the document sections that the requester has, so that the
    /// reply may omit them; empty to request all sections.
    std::vector<policy_section> const sections_{};

    friend bool
    operator==(section_request const&, section_request const&) = default;
};

} // namespace samphire
