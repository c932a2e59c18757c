#include "forwarding/crash_register.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(crash_register)
{
    crash_register crashes{3};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
};

TEST(crash_register, request_is_refused_after_three_crashes)
{
    crashes.on_crash(1, 10, now);
    crashes.on_crash(1, 11, now);
    CHECK_FALSE(crashes.is_refused(1, now));
    crashes.on_crash(1, 12, now);
    CHECK(crashes.is_refused(1, now));
}

TEST(crash_register, one_crash_reported_twice_counts_once)
{
    for (int i = 0; i < 5; ++i)
        crashes.on_crash(1, 10, now);
    CHECK_FALSE(crashes.is_refused(1, now));
}

TEST(crash_register, request_that_succeeds_is_cleared)
{
    crashes.on_crash(1, 10, now);
    crashes.on_crash(1, 11, now);
    crashes.on_success(1);
    crashes.on_crash(1, 12, now);
    CHECK_FALSE(crashes.is_refused(1, now));
}

TEST(crash_register, only_losses_shortly_before_the_crash_are_suspect)
{
    crashes.on_connection_lost(1, now);
    now += absl::Seconds(5);
    crashes.on_connection_lost(2, now);
    CHECK(crashes.on_upstream_down(now) == std::vector<std::uint64_t>{2});
    CHECK(crashes.on_upstream_down(now).empty());
}

TEST(crash_register, suspect_without_further_crashes_is_not_refused)
{
    for (std::uint64_t crash = 0; crash < 3; ++crash)
        crashes.on_crash(1, crash, now);
    CHECK_FALSE(crashes.is_refused(1, now + absl::Minutes(5)));
}
