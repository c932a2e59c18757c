#pragma once

#include "admission/fifo_admission.hpp"
#include "config/last_writer_revision.hpp"
#include "core/policies.hpp"
#include "drain/ignored_drain.hpp"
#include "execution/unrecorded_execution.hpp"
#include "quarantine/no_quarantine.hpp"
#include "retry/per_hop_retry.hpp"
#include "routing/round_robin_selector.hpp"

namespace samphire
{

/// Names the baseline implementation of each compile-time policy, for
/// comparisons with product_policies.
struct baseline_policies
{
    using admission = fifo_admission;
    using selector = round_robin_selector;
    using retry = per_hop_retry;
    using execution = unrecorded_execution;
    using quarantine = no_quarantine;
    using revision = last_writer_revision;
    using drain = ignored_drain;
};

static_assert(policies<baseline_policies>);

} // namespace samphire
