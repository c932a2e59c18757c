#include "relay/relay_metrics.hpp"

#include <fmt/format.h>

namespace samphire
{

std::string_view relay_metrics::route_label(std::string_view route)
{
    if (routes_.contains(route))
        return route;
    if (routes_.size() >= max_routes)
        return "other";
    return *routes_.emplace(route).first;
}

void relay_metrics::count_decision(decision_record const& record)
{
    std::string_view const reason = verdict_reason_text(record.reason_);
    bool const answered = record.event_ == "request_answered";
    if (answered || record.event_ == "request_failed")
    {
        std::string_view const route = route_label(record.route_);
        registry_.add(fmt::format(
            "requests_total{{route=\"{}\",service=\"{}\",status=\"{}\","
            "reason=\"{}\"}}",
            route,
            record.service_,
            record.status_,
            reason));
        constexpr double milliseconds_per_second = 1000;
        registry_.record_in_histogram(
            fmt::format(
                "request_duration_seconds{{route=\"{}\",outcome=\"{}\"}}",
                route,
                answered ? "answered" : "failed"),
            static_cast<double>(record.wait_ms_) / milliseconds_per_second);
        return;
    }
    if (record.event_ == "guard_refused" || record.event_ == "execution_failed")
        registry_.add(fmt::format(
            "executions_failed_total{{event=\"{}\",reason=\"{}\"}}",
            record.event_,
            reason));
    else
        registry_.add(
            fmt::format("{}_total{{reason=\"{}\"}}", record.event_, reason));
}

} // namespace samphire
