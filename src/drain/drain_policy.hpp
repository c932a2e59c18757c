#pragma once

#include <concepts>

namespace samphire
{

/// Requires a compile-time policy that decides whether the guard of a leaving
/// daemon refuses new work, and whether a shutdown waits for the requests in
/// flight.
template <class T>
concept drain_policy = requires(T const& policy, bool leaving)
{
    {
        policy.refuses_new_work(leaving)
        } -> std::same_as<bool>;
    {
        policy.waits_for_work_in_flight()
        } -> std::same_as<bool>;
};

} // namespace samphire
