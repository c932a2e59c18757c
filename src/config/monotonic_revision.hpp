#pragma once

#include "config/revision_policy.hpp"

namespace samphire
{

/// Revision strategy of the product: only a policy document of a higher
/// revision replaces the document in force, so an accepted policy document
/// never reverts.
class monotonic_revision
{
public:
    bool accepts(revision in_force, revision offered) const
    {
        return offered > in_force;
    }
};

static_assert(revision_policy<monotonic_revision>);

} // namespace samphire
