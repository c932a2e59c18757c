#pragma once

#include "base/payload.hpp"
#include "base/revision.hpp"
#include "policy/policy_section.hpp"

#include <vector>

namespace samphire
{

/// Revision in force at the sender, and its document when that is higher than
/// the asker's.
struct section_reply
{
    revision const revision_{};
    /// Policy document in its JSON form without the services; empty when the
    /// asker needs nothing.
    payload const base_{};
    /// All sections of the document in their order.
    std::vector<policy_section> const sections_{};
    /// JSON form of each section that the asker did not state.
    std::vector<payload> const changed_{};

    friend bool
    operator==(section_reply const&, section_reply const&) = default;
};

} // namespace samphire
