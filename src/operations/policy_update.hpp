#pragma once

#include "operations/stored_policy.hpp"
#include "operations/update_status.hpp"

namespace samphire
{

/// Outcome of an update, and the stored object as far as it is known.
struct policy_update
{
    update_status const status_{};
    stored_policy const current_{};

    friend bool
    operator==(policy_update const&, policy_update const&) = default;
};

} // namespace samphire
