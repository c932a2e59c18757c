#include "relay/relay_metrics.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

TEST_GROUP(relay_metrics)
{
    metric_registry registry;
    relay_metrics metrics{registry};

    void add_answered(std::string const& route, std::int64_t wait_ms)
    {
        metrics.count_decision(
            {.event_ = "request_answered",
             .service_ = "slots",
             .route_ = route,
             .wait_ms_ = wait_ms,
             .status_ = 200});
    }

    bool has_line(std::string const& line) const
    {
        return registry.text().find(line + "\n") != std::string::npos;
    }
};

TEST(relay_metrics, answered_requests_are_counted_by_route_and_status)
{
    add_answered("r1", 3);
    add_answered("r1", 30);
    CHECK(has_line("samphire_requests_total{route=\"r1\",service=\"slots\","
                   "status=\"200\",reason=\"none\"} 2"));
}

TEST(relay_metrics, duration_is_counted_in_cumulative_buckets)
{
    add_answered("r1", 3);
    add_answered("r1", 30);
    std::string const name = "samphire_request_duration_seconds";
    std::string const labels = "{route=\"r1\",outcome=\"answered\"";
    CHECK(has_line(name + "_bucket" + labels + ",le=\"0.0025\"} 0"));
    CHECK(has_line(name + "_bucket" + labels + ",le=\"0.005\"} 1"));
    CHECK(has_line(name + "_bucket" + labels + ",le=\"+Inf\"} 2"));
    CHECK(has_line(name + "_count" + labels + "} 2"));
}

TEST(relay_metrics, failures_are_counted_by_reason)
{
    metrics.count_decision(
        {.event_ = "guard_refused", .reason_ = verdict_reason::overloaded});
    CHECK(has_line("samphire_executions_failed_total{event=\"guard_refused\","
                   "reason=\"overloaded\"} 1"));
}

TEST(relay_metrics, routes_over_the_limit_share_one_label)
{
    for (int i = 0; i < 300; ++i)
        add_answered("r" + std::to_string(i), 1);
    CHECK(has_line("samphire_requests_total{route=\"other\",service=\"slots\","
                   "status=\"200\",reason=\"none\"} 44"));
}
