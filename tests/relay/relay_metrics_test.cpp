#include "relay/relay_metrics.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

TEST_GROUP(relay_metrics)
{
    metric_registry registry;
    relay_metrics metrics{registry};

    void answered(std::string const& route, std::int64_t wait_ms)
    {
        metrics.note(
            {.event_ = "request_answered",
             .service_ = "slots",
             .route_ = route,
             .wait_ms_ = wait_ms,
             .status_ = 200});
    }

    bool has(std::string const& line) const
    {
        return registry.text().find(line + "\n") != std::string::npos;
    }
};

TEST(relay_metrics, answered_requests_are_counted_by_route_and_status)
{
    answered("r1", 3);
    answered("r1", 30);
    CHECK(has("samphire_requests_total{route=\"r1\",service=\"slots\","
              "status=\"200\",reason=\"none\"} 2"));
}

TEST(relay_metrics, durations_stand_in_cumulative_buckets)
{
    answered("r1", 3);
    answered("r1", 30);
    std::string const name = "samphire_request_duration_seconds";
    std::string const labels = "{route=\"r1\",outcome=\"answered\"";
    CHECK(has(name + "_bucket" + labels + ",le=\"0.0025\"} 0"));
    CHECK(has(name + "_bucket" + labels + ",le=\"0.005\"} 1"));
    CHECK(has(name + "_bucket" + labels + ",le=\"+Inf\"} 2"));
    CHECK(has(name + "_count" + labels + "} 2"));
}

TEST(relay_metrics, failures_are_counted_by_reason)
{
    metrics.note(
        {.event_ = "guard_refused", .reason_ = verdict_reason::overloaded});
    CHECK(has("samphire_executions_failed_total{event=\"guard_refused\","
              "reason=\"overloaded\"} 1"));
}

TEST(relay_metrics, too_many_routes_are_counted_together)
{
    for (int i = 0; i < 300; ++i)
        answered("r" + std::to_string(i), 1);
    CHECK(has("samphire_requests_total{route=\"other\",service=\"slots\","
              "status=\"200\",reason=\"none\"} 44"));
}
