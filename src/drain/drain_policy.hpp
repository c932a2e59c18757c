#pragma once

#include <concepts>

namespace samphire
{

/// Decides whether a guard whose upstream is leaving refuses new work.
template <class T>
concept drain_policy = requires(T const& policy, bool leaving)
{
    {
        policy.refuses(leaving)
        } -> std::same_as<bool>;
};

} // namespace samphire
