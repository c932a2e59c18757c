#include "admission/level_controller.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(level_controller)
{
    level_controller controller;
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void run_updates(
        absl::Duration queue_wait, double busy_ratio, unsigned steps)
    {
        for (unsigned i = 0; i < steps; ++i)
        {
            now += absl::Milliseconds(100);
            for (std::uint64_t priority = 128; priority < 512; ++priority)
                controller.on_offered(priority);
            controller.update(
                queue_wait, absl::Milliseconds(50), busy_ratio, now);
        }
    }
};

// Guards against an overload that callers are not informed of.
TEST(level_controller, wait_over_target_raises_the_level)
{
    run_updates(absl::Milliseconds(200), 1, 5);
    CHECK(controller.level().value() > 128);
}

// Guards against shedding critical work by level: bookings, firings and log
// intake.
TEST(level_controller, level_never_reaches_critical_work)
{
    run_updates(absl::Seconds(10), 1, 200);
    LONGS_EQUAL(3 * priority_steps_per_class, controller.level().value());
}

// Guards against continued shedding after the overload has ended.
TEST(level_controller, idle_slots_bring_the_level_to_zero_within_two_seconds)
{
    run_updates(absl::Seconds(1), 1, 50);
    run_updates(absl::ZeroDuration(), 0.5, 20);
    LONGS_EQUAL(0, controller.level().value());
    CHECK(controller.next_update() == absl::InfiniteFuture());
}
