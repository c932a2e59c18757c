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
    /// `ratio`: repeats earned by one request; `burst`: most that is saved up.
    retry_allowance(double ratio, double burst) : ratio_(ratio), burst_(burst)
    {
    }

    void on_request(service_name const& service)
    {
        double& saved = saved_[service];
        saved = std::min(burst_, saved + ratio_);
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
    double const ratio_;
    double const burst_;
    absl::flat_hash_map<service_name, double> saved_;
};

} // namespace samphire
