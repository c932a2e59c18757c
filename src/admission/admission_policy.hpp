#pragma once

#include "admission/admission_level.hpp"
#include "admission/admission_request.hpp"
#include "admission/shed_execution.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Decides which requests run at the own upstream, in which order, and which
/// are shed.
template <class T>
concept admission_policy = requires(
    T policy,
    T const& view,
    admission_request const& request,
    execution_id id,
    std::uint32_t count,
    absl::Time now)
{
    /// Queues the request. Returns what is shed for it, which may be itself.
    {
        policy.offer(request, now)
        } -> std::same_as<std::vector<shed_execution>>;
    /// Moves one request from the queue into a slot, if one may start.
    {
        policy.start_next(now)
        } -> std::same_as<std::optional<execution_id>>;
    /// Removes queued requests that can no longer meet their deadline.
    {
        policy.expire(now)
        } -> std::same_as<std::vector<shed_execution>>;
    /// Frees the slot of a started request, or removes a queued one.
    {policy.finish(id, now)};
    /// Slots that the upstream announced; zero while there is none.
    {policy.set_slots(count, now)};
    /// Load reported by the upstream, possibly stale: may lower the limit.
    {policy.report_load(count, now)};
    {
        view.level()
        } -> std::same_as<admission_level>;
    {
        view.in_flight()
        } -> std::same_as<std::size_t>;
    {
        view.queued()
        } -> std::same_as<std::size_t>;
    /// When expire() or start_next() should be called next.
    {
        view.next_deadline()
        } -> std::same_as<absl::Time>;
};

} // namespace samphire
