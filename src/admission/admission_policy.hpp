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

/// Requirements on an admission strategy, which decides which requests run at
/// the local upstream, in which order, and which requests are shed.
template <class T>
concept admission_policy = requires(
    T policy,
    T const& view,
    admission_request const& request,
    execution_id id,
    std::uint32_t count,
    absl::Time now)
{
    /// Queues the request. Returns the executions that are shed, which may
    /// include the execution of this request.
    {
        policy.offer(request, now)
        } -> std::same_as<std::vector<shed_execution>>;
    /// Starts one queued request in a free slot and returns its execution.
    /// Returns none when no queued request may start.
    {
        policy.start_next(now)
        } -> std::same_as<std::optional<execution_id>>;
    /// Removes and returns queued requests that can no longer meet their
    /// deadline.
    {
        policy.expire(now)
        } -> std::same_as<std::vector<shed_execution>>;
    /// Frees the slot of a started request, or removes a queued request from
    /// the queue.
    {policy.finish(id, now)};
    /// Sets the number of slots that the upstream announced; zero while there
    /// is no upstream.
    {policy.set_slots(count, now)};
    /// Records the load that the upstream reported, which may be outdated. The
    /// load can lower the concurrency limit, but not raise the limit above the
    /// announced slots.
    {policy.report_load(count, now)};
    {
        view.level()
        } -> std::same_as<admission_level>;
    {
        view.in_flight()
        } -> std::same_as<std::size_t>;
    {
        view.queued_request_count()
        } -> std::same_as<std::size_t>;
    /// Returns the time at which expire() or start_next() should be called
    /// next.
    {
        view.next_deadline()
        } -> std::same_as<absl::Time>;
};

} // namespace samphire
