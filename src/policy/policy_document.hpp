#pragma once

#include "base/daemon_id.hpp"
#include "base/revision.hpp"
#include "policy/retry_limits.hpp"
#include "policy/service_policy.hpp"

#include <vector>

namespace samphire
{

/// The policy document that operators write. A default-constructed document is
/// the built-in safe default: every route is unrepeatable and of normal
/// importance.
struct policy_document
{
    revision const revision_{};
    retry_limits const retries_{};
    std::vector<service_policy> const services_{};
    /// Daemons whose upstreams are leaving and accept no new work.
    std::vector<daemon_id> const leaving_{};

    friend bool
    operator==(policy_document const&, policy_document const&) = default;
};

} // namespace samphire
