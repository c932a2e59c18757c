#pragma once

#include "base/service_name.hpp"
#include "forwarding/repeat_window.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Repeats that this daemon may send to a service: in any window of time a
/// fixed part of the requests that it has sent there, so that the sum over all
/// daemons stays below the operators' ratio, whatever fails. Repeats that a
/// calm time has not used serve a burst of failures in the same window.
class retry_allowance
{
public:
    /// `ratio`: repeats of the service's requests that the operators allow;
    /// `burst`: repeats beyond that; `window`: the operators' span of time.
    retry_allowance(double ratio, double burst, absl::Duration window)
        : ratio_(ratio), burst_(burst), window_(window)
    {
    }

    /// At least one, or no repeat would ever be possible.
    void set_burst(double burst)
    {
        burst_ = std::max(burst, 1.0);
    }

    /// `calls_follow`: a repeat of the request would repeat calls below it, so
    /// that it earns less than one that is alone.
    void
    on_request(service_name const& service, bool calls_follow, absl::Time now)
    {
        of(service).earn(
            ratio_ * (calls_follow ? root_share : call_share), now);
    }

    /// A call of a repeated run is a repeat by itself.
    void on_repeated_call(service_name const& service, absl::Time now)
    {
        of(service).spend(now);
    }

    /// Takes one repeat; false when none is left.
    bool take(service_name const& service, absl::Time now)
    {
        repeat_window& used = of(service);
        if (used.spent(now) + 1 > used.earned(now) + burst_)
            return false;
        used.spend(now);
        return true;
    }

private:
    /// Parts of the allowed ratio; the rest is room for what other daemons do
    /// at the edge of a window.
    static constexpr double call_share = 0.7;
    static constexpr double root_share = 0.25;

    repeat_window& of(service_name const& service)
    {
        return windows_.try_emplace(service, window_).first->second;
    }

    double const ratio_;
    double burst_;
    absl::Duration const window_;
    absl::flat_hash_map<service_name, repeat_window> windows_;
};

} // namespace samphire
