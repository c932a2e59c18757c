#pragma once

#include "config/revision_policy.hpp"

namespace samphire
{

/// Baseline revision strategy: the policy document that arrives last is in
/// force.
class last_writer_revision
{
public:
    bool accepts(revision in_force, revision offered) const
    {
        return offered != in_force;
    }
};

static_assert(revision_policy<last_writer_revision>);

} // namespace samphire
