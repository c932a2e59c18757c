#pragma once

#include "admission/admission_policy.hpp"
#include "config/revision_policy.hpp"
#include "drain/drain_policy.hpp"
#include "execution/execution_policy.hpp"
#include "quarantine/quarantine_policy.hpp"
#include "retry/retry_policy.hpp"
#include "routing/peer_selector.hpp"

namespace samphire
{

/// Requires a type that names one implementation for each compile-time policy
/// of daemon_core. These policies are not part of the policy document of the
/// operator.
template <class T>
concept policies = admission_policy<typename T::admission> &&
    peer_selector<typename T::selector> && retry_policy<typename T::retry> &&
    execution_policy<typename T::execution> &&
    quarantine_policy<typename T::quarantine> &&
    revision_policy<typename T::revision> && drain_policy<typename T::drain>;

} // namespace samphire
