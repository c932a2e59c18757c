#pragma once

#include "base/revision.hpp"

#include <concepts>

namespace samphire
{

/// Requirements on a revision strategy, which decides whether an offered policy
/// document replaces the one in force.
template <class T>
concept revision_policy =
    requires(T const& policy, revision in_force, revision offered)
{
    {
        policy.accepts(in_force, offered)
        } -> std::same_as<bool>;
};

} // namespace samphire
