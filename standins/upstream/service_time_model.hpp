#pragma once

#include "base/random_source.hpp"
#include "upstream/upstream_settings.hpp"

#include <string_view>

namespace samphire::standin
{

/// Draws the service times of the requests at the stand-in, which depend on the
/// route, on the slowdown and on whether the upstream is cold.
class service_time_model
{
public:
    service_time_model(
        upstream_settings const& settings, absl::Time start_time);

    /// Draws the service time of a request that starts at `now`.
    absl::Duration sample_service_time(std::string_view route, absl::Time now);

    bool is_cold(absl::Time now) const
    {
        return now < cold_until_;
    }

    /// Sets the factor by which all service times are multiplied; 1 is normal
    /// speed.
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

    /// Makes the upstream cold again when it restarts after a crash.
    void restart(absl::Time now)
    {
        cold_until_ = now + settings_.cold_time_;
    }

private:
    upstream_settings const settings_;
    absl::Time cold_until_;
    double slowdown_{1};
    random_source random_;
};

} // namespace samphire::standin
