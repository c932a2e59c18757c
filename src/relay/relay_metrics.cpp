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

void relay_metrics::count_decision(decision_note const& note)
{
    std::string_view const reason = verdict_reason_text(note.reason_);
    bool const answered = note.event_ == "request_answered";
    if (answered || note.event_ == "request_failed")
    {
        std::string_view const route = route_label(note.route_);
        registry_.add(fmt::format(
            "requests_total{{route=\"{}\",service=\"{}\",status=\"{}\","
            "reason=\"{}\"}}",
            route,
            note.service_,
            note.status_,
            reason));
        constexpr double milliseconds = 1000;
        registry_.observe(
            fmt::format(
                "request_duration_seconds{{route=\"{}\",outcome=\"{}\"}}",
                route,
                answered ? "answered" : "failed"),
            static_cast<double>(note.wait_ms_) / milliseconds);
        return;
    }
    if (note.event_ == "guard_refused" || note.event_ == "execution_failed")
        registry_.add(fmt::format(
            "executions_failed_total{{event=\"{}\",reason=\"{}\"}}",
            note.event_,
            reason));
    else
        registry_.add(
            fmt::format("{}_total{{reason=\"{}\"}}", note.event_, reason));
}

} // namespace samphire
