#pragma once

#include "base/random_source.hpp"
#include "upstream/upstream_settings.hpp"

#include <string_view>

namespace samphire::standin
{

/// How long each request takes at the stand-in.
class service_time_model
{
public:
    service_time_model(upstream_settings const& settings, absl::Time started);

    /// Service time of a request that starts now.
    absl::Duration sample(std::string_view route, absl::Time now);

    bool cold(absl::Time now) const
    {
        return now < warm_at_;
    }

    /// Factor of a straggler; 1 for normal speed.
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

    /// Starts cold again, after a crash.
    void restart(absl::Time now)
    {
        warm_at_ = now + settings_.cold_time_;
    }

private:
    upstream_settings const settings_;
    absl::Time warm_at_;
    double slowdown_{1};
    random_source random_;
};

} // namespace samphire::standin
