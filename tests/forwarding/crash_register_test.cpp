#include "forwarding/crash_register.hpp"
#include "forwarding/retry_allowance.hpp"

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
    CHECK_FALSE(crashes.refused(1, now));
    crashes.on_crash(1, 12, now);
    CHECK(crashes.refused(1, now));
}

TEST(crash_register, one_crash_reported_twice_counts_once)
{
    for (int i = 0; i < 5; ++i)
        crashes.on_crash(1, 10, now);
    CHECK_FALSE(crashes.refused(1, now));
}

TEST(crash_register, good_end_clears_a_neighbour)
{
    crashes.on_crash(1, 10, now);
    crashes.on_crash(1, 11, now);
    crashes.on_success(1);
    crashes.on_crash(1, 12, now);
    CHECK_FALSE(crashes.refused(1, now));
}

TEST(crash_register, only_losses_shortly_before_the_crash_are_suspect)
{
    crashes.on_lost(1, now);
    now += absl::Seconds(5);
    crashes.on_lost(2, now);
    CHECK(crashes.on_upstream_down(now) == std::vector<std::uint64_t>{2});
    CHECK(crashes.on_upstream_down(now).empty());
}

TEST(crash_register, suspect_without_crashes_is_forgotten)
{
    for (std::uint64_t crash = 0; crash < 3; ++crash)
        crashes.on_crash(1, crash, now);
    CHECK_FALSE(crashes.refused(1, now + absl::Minutes(5)));
}

TEST_GROUP(retry_allowance)
{
    retry_allowance allowance{0.2, 2};
    service_name const service{"s"};
};

TEST(retry_allowance, repeats_stay_within_the_ratio)
{
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        allowance.on_request(service, true);
        taken += allowance.take(service) ? 1 : 0;
    }
    CHECK(taken <= 200);
    CHECK(taken >= 130);
}

TEST(retry_allowance, saved_repeats_are_bounded)
{
    for (int i = 0; i < 1000; ++i)
        allowance.on_request(service, true);
    CHECK(allowance.take(service));
    CHECK(allowance.take(service));
    CHECK_FALSE(allowance.take(service));
}

TEST(retry_allowance, calls_of_a_repeated_run_use_it_up)
{
    for (int i = 0; i < 100; ++i)
        allowance.on_request(service, true);
    for (int i = 0; i < 5; ++i)
        allowance.on_repeated_call(service);
    for (int i = 0; i < 20; ++i)
        allowance.on_request(service, true);
    CHECK_FALSE(allowance.take(service));
}

TEST(retry_allowance, new_daemon_has_nothing_saved)
{
    CHECK_FALSE(allowance.take(service));
}
