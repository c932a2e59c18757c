#pragma once

#include "base/payload.hpp"
#include "base/revision.hpp"
#include "policy/policy_section.hpp"

#include <vector>

namespace samphire
{

/// Policy revision in force at the sender, and its policy document when the
/// revision is higher than that of the requester.
struct section_reply
{
    revision const revision_{};
    /// Policy document in its JSON form without the services; empty when the
    /// requester has this revision or a higher one.
    payload const base_{};
    /// All sections of the document, in document order.
    std::vector<policy_section> const sections_{};
    /// JSON form of each section that the request did not list.
    std::vector<payload> const changed_sections_{};

    friend bool
    operator==(section_reply const&, section_reply const&) = default;
};

} // namespace samphire
