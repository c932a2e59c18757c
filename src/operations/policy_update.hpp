#pragma once

#include "operations/stored_policy.hpp"
#include "operations/update_status.hpp"

namespace samphire
{

/// Outcome of an update of the policy object.
struct policy_update
{
    update_status const status_{};
    /// Last known state of the policy object.
    stored_policy const current_policy_{};

    friend bool
    operator==(policy_update const&, policy_update const&) = default;
};

} // namespace samphire
