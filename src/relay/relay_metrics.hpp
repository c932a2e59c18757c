#pragma once

#include "forwarding/decision_record.hpp"
#include "metrics/metric_registry.hpp"

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace samphire
{

/// Counts decisions by service, route, status and reason, and records the
/// durations of requests. The number of distinct route labels is bounded.
class relay_metrics
{
public:
    explicit relay_metrics(metric_registry& registry) : registry_(registry)
    {
    }

    void count_decision(decision_record const& record);

private:
    /// Maximum number of distinct route labels; all other routes share the
    /// label "other".
    static constexpr std::size_t max_routes = 256;

    std::string_view route_label(std::string_view route);

    metric_registry& registry_;
    std::set<std::string, std::less<>> routes_;
};

} // namespace samphire
