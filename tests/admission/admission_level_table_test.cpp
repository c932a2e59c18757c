#include "admission/admission_level_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(admission_level_table)
{
    admission_level_table table{1};
    service_name const service{"slots"};
    route_name const route{"find"};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    std::uint64_t current_level(absl::Duration later) const
    {
        return table.current_level(service, route, now + later).value();
    }
};

// Guards against admitting every request because the last answer came from an
// idle guard.
TEST(admission_level_table, one_low_answer_hardly_lowers_the_level)
{
    table.observe(service, route, admission_level(300), now);
    table.observe(service, route, admission_level(0), now);
    LONGS_EQUAL(270, current_level(absl::ZeroDuration()));
}

// Guards against a level that persists after the overload because no call is
// admitted whose answer would report a lower one.
TEST(admission_level_table, level_falls_to_zero_within_two_seconds_of_silence)
{
    table.observe(service, route, admission_level(384), now);
    LONGS_EQUAL(384, current_level(absl::Milliseconds(200)));
    CHECK(current_level(absl::Milliseconds(700)) > 200);
    LONGS_EQUAL(0, current_level(absl::Seconds(2)));
}

// Guards against a table that callers grow without bound.
TEST(admission_level_table, full_table_keeps_its_routes)
{
    table.observe(service, route, admission_level(100), now);
    table.observe(service, route_name("other"), admission_level(100), now);
    LONGS_EQUAL(
        0, table.current_level(service, route_name("other"), now).value());
    LONGS_EQUAL(100, current_level(absl::ZeroDuration()));
}
