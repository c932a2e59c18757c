#pragma once

#include "admission/class_admission.hpp"
#include "config/monotonic_revision.hpp"
#include "core/policies.hpp"
#include "drain/guarded_drain.hpp"
#include "execution/execution_registry.hpp"
#include "quarantine/crash_quarantine.hpp"
#include "retry/chain_budget_retry.hpp"
#include "routing/two_choice_selector.hpp"

namespace samphire
{

/// Names the implementation of each compile-time policy that the released
/// daemon uses.
struct product_policies
{
    using admission = class_admission;
    using selector = two_choice_selector;
    using retry = chain_budget_retry;
    using execution = execution_registry;
    using quarantine = crash_quarantine;
    using revision = monotonic_revision;
    using drain = guarded_drain;
};

static_assert(policies<product_policies>);

} // namespace samphire
