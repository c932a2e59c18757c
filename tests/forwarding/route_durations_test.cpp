#include "forwarding/route_durations.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

TEST_GROUP(route_durations)
{
    route_durations durations;
    route_name const route{"r"};

    void observe(absl::Duration duration, int count)
    {
        for (int i = 0; i < count; ++i)
            durations.observe(route, duration);
    }
};

TEST(route_durations, unknown_route_has_no_estimate)
{
    CHECK_FALSE(durations.typical_maximum(route).has_value());
}

TEST(route_durations, equal_durations_are_their_own_maximum)
{
    observe(absl::Milliseconds(100), 100);
    CHECK(*durations.typical_maximum(route) < absl::Milliseconds(101));
}

TEST(route_durations, varying_durations_stay_below_the_maximum)
{
    for (int i = 0; i < 100; ++i)
        observe(absl::Milliseconds(100 + 200 * (i % 2)), 1);
    CHECK(*durations.typical_maximum(route) > absl::Milliseconds(300));
}

// Guards against a table that grows with the names that callers choose.
TEST(route_durations, routes_over_the_limit_are_not_observed)
{
    for (int i = 0; i < 5000; ++i)
        durations.observe(route_name(std::to_string(i)), absl::Milliseconds(1));
    CHECK_FALSE(durations.typical_maximum(route_name("4999")).has_value());
}
