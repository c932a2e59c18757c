#pragma once

#include "base/fingerprint.hpp"
#include "quarantine/crash_suspect.hpp"
#include "quarantine/suspicion.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <span>
#include <vector>

namespace samphire
{

/// Requirements on a quarantine strategy, which finds requests that crash
/// upstreams.
template <class T>
concept quarantine_policy = requires(
    T policy,
    T const& view,
    fingerprint request,
    std::span<fingerprint const> in_flight,
    crash_suspect const& suspect,
    absl::Time now)
{
    {
        view.assess(request, now)
        } -> std::same_as<suspicion>;
    /// Records a crash of the upstream. Returns the suspects to announce to the
    /// other daemons.
    {
        policy.on_upstream_crash(in_flight, now)
        } -> std::same_as<std::vector<crash_suspect>>;
    /// Records a suspect that another daemon reported, or clears the suspect if
    /// the reported number of crashes is zero.
    {policy.merge(suspect, now)};
    /// Records that the request completed. Returns true when that cleared a
    /// suspect.
    {
        policy.on_request_completed(request, now)
        } -> std::same_as<bool>;
    /// Returns all current suspects and quarantined requests, to send to other
    /// failure domains.
    {
        view.suspects(now)
        } -> std::same_as<std::vector<crash_suspect>>;
};

} // namespace samphire
