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

/// Finds requests that crash upstreams.
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
    /// The upstream crashed; returns what the other daemons must learn.
    {
        policy.upstream_crashed(in_flight, now)
        } -> std::same_as<std::vector<crash_suspect>>;
    /// Another daemon reported the suspect, or with zero crashes cleared it.
    {policy.merge(suspect, now)};
    /// True when the request was a suspect and no longer is.
    {
        policy.succeeded(request, now)
        } -> std::same_as<bool>;
    /// All that is held, for other failure domains.
    {
        view.suspects(now)
        } -> std::same_as<std::vector<crash_suspect>>;
};

} // namespace samphire
