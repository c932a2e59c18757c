#include "upstream/service_time_model.hpp"

#include <algorithm>
#include <random>

namespace samphire::standin
{

service_time_model::service_time_model(
    upstream_settings const& settings, absl::Time started)
    : settings_(settings), warm_at_(started + settings.cold_time_),
      random_(settings.seed_)
{
}

absl::Duration
service_time_model::sample(std::string_view route, absl::Time now)
{
    auto const& routes = settings_.long_routes_;
    bool const is_long =
        std::find(routes.begin(), routes.end(), route) != routes.end();
    double factor = slowdown_;
    if (is_long)
        factor *= settings_.long_factor_;
    if (cold(now))
        factor *= settings_.cold_factor_;
    if (settings_.spread_ == time_spread::exponential)
        factor *= std::exponential_distribution<double>(1.0)(random_);
    return settings_.service_time_ * factor;
}

} // namespace samphire::standin
