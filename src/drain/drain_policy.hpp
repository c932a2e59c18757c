#pragma once

#include <concepts>

namespace samphire
{

/// Decides how a daemon leaves: whether its guard refuses new work, and whether
/// a stop waits for the requests in flight.
template <class T>
concept drain_policy = requires(T const& policy, bool leaving)
{
    {
        policy.refuses(leaving)
        } -> std::same_as<bool>;
    {
        policy.finishes_work()
        } -> std::same_as<bool>;
};

} // namespace samphire
