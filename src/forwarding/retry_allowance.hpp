#pragma once

#include "base/service_name.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace samphire
{

/// Repeats that this daemon may send to a service: a fixed part of the
/// requests that it has sent there, so that the sum over all daemons stays
/// below the operators' ratio in any span of time, whatever fails.
class retry_allowance
{
public:
    /// `ratio`: repeats of the service's requests that the operators allow;
    /// `burst`: most that is saved up.
    retry_allowance(double ratio, double burst) : ratio_(ratio), burst_(burst)
    {
    }

    /// At least one, or no repeat would ever be possible.
    void set_burst(double burst)
    {
        burst_ = std::max(burst, 1.0);
    }

    /// A call that is known to belong to a first run earns more than a request
    /// whose repeat would repeat all calls below it.
    void on_request(service_name const& service, bool first_call)
    {
        double& saved = saved_[service];
        double const earned = ratio_ * (first_call ? call_share : root_share);
        saved = std::min(burst_, saved + earned);
    }

    /// A call of a repeated run is a repeat by itself.
    void on_repeated_call(service_name const& service)
    {
        saved_[service] -= 1;
    }

    /// Takes one repeat; false when none is left.
    bool take(service_name const& service)
    {
        double& saved = saved_[service];
        if (saved < 1)
            return false;
        saved -= 1;
        return true;
    }

private:
    /// Parts of the allowed ratio; the rest is room for what other daemons do
    /// at the edge of a span.
    static constexpr double call_share = 0.7;
    static constexpr double root_share = 0.25;

    double const ratio_;
    double burst_;
    absl::flat_hash_map<service_name, double> saved_;
};

} // namespace samphire
