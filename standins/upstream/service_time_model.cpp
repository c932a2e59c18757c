#include "upstream/service_time_model.hpp"

#include <algorithm>
#include <random>

namespace samphire::standin
{

service_time_model::service_time_model(
    upstream_settings const& settings, absl::Time start_time)
    : settings_(settings), cold_until_(start_time + settings.cold_time_),
      random_(settings.seed_)
{
}

absl::Duration
service_time_model::sample_service_time(std::string_view route, absl::Time now)
{
    auto const& routes = settings_.long_routes_;
    bool const is_long =
        std::find(routes.begin(), routes.end(), route) != routes.end();
    double factor = slowdown_;
    if (is_long)
        factor *= settings_.long_factor_;
    if (is_cold(now))
        factor *= settings_.cold_factor_;
    if (settings_.distribution_ == service_time_distribution::exponential)
        factor *= std::exponential_distribution<double>(1.0)(random_);
    return settings_.service_time_ * factor;
}

} // namespace samphire::standin
