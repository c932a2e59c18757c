#include "relay/event_rate_limiter.hpp"
#include "relay/stop_progress.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(stop_progress)
{
    stop_progress stopping_daemon{absl::Seconds(6)};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
};

TEST(stop_progress, daemon_without_stop_signal_keeps_running)
{
    CHECK_FALSE(stopping_daemon.finished(0, 0, now));
}

// Guards against a daemon that ends before its clients have noticed that it is
// not ready.
TEST(stop_progress, idle_daemon_runs_until_clients_noticed_the_stop)
{
    stopping_daemon.begin(now);
    CHECK_FALSE(stopping_daemon.finished(0, 0, now + absl::Seconds(1)));
    CHECK(stopping_daemon.finished(0, 0, now + absl::Seconds(3)));
}

TEST(stop_progress, daemon_waits_for_requests_in_progress)
{
    stopping_daemon.begin(now);
    CHECK_FALSE(stopping_daemon.finished(1, 0, now + absl::Seconds(4)));
    CHECK_FALSE(stopping_daemon.finished(0, 0, now + absl::Milliseconds(4100)));
    CHECK(stopping_daemon.finished(0, 0, now + absl::Milliseconds(4300)));
}

// Guards against a request that starts late in the grace period, such as 4.8 s
// after the stop signal, and is cut off by the end of the process.
TEST(stop_progress, request_late_in_the_grace_period_is_not_accepted)
{
    CHECK(stopping_daemon.accepts_orders(now));
    stopping_daemon.begin(now);
    CHECK(stopping_daemon.accepts_orders(now + absl::Seconds(2)));
    CHECK_FALSE(stopping_daemon.accepts_orders(now + absl::Milliseconds(3100)));
}

// Guards against answers that are made while the process already ends.
TEST(stop_progress, work_ends_before_the_process_does)
{
    CHECK(stopping_daemon.work_end() == absl::InfiniteFuture());
    stopping_daemon.begin(now);
    CHECK(stopping_daemon.work_end() > now + absl::Seconds(4));
    CHECK(stopping_daemon.work_end() < now + absl::Seconds(6));
    CHECK_FALSE(stopping_daemon.finished(
        1, 0, stopping_daemon.work_end() + absl::Milliseconds(200)));
}

TEST(stop_progress, daemon_ends_before_the_grace_period_does)
{
    stopping_daemon.begin(now);
    CHECK(stopping_daemon.finished(9, 0, now + absl::Milliseconds(5600)));
}

// Guards against a daemon that stays until the end of its grace because a link
// is cut in one direction, so that a message on it is never written.
TEST(stop_progress, idle_daemon_waits_a_second_for_its_links)
{
    stopping_daemon.begin(now);
    CHECK_FALSE(stopping_daemon.finished(0, 1, now + absl::Seconds(3)));
    CHECK_FALSE(stopping_daemon.finished(0, 1, now + absl::Milliseconds(3900)));
    CHECK(stopping_daemon.finished(0, 1, now + absl::Milliseconds(4050)));
}

TEST(stop_progress, daemon_ends_when_its_links_are_written)
{
    stopping_daemon.begin(now);
    CHECK_FALSE(stopping_daemon.finished(0, 1, now + absl::Seconds(3)));
    CHECK(stopping_daemon.finished(0, 0, now + absl::Milliseconds(3200)));
}

TEST_GROUP(event_rate_limiter)
{
    event_rate_limiter limiter{10};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
};

TEST(event_rate_limiter, lines_over_the_burst_are_omitted_and_counted)
{
    std::uint64_t omitted_lines = 0;
    unsigned written = 0;
    for (int i = 0; i < 1000; ++i)
        written += limiter.try_acquire("e", now, omitted_lines) ? 1 : 0;
    LONGS_EQUAL(20, written);
    CHECK(limiter.try_acquire("e", now + absl::Seconds(1), omitted_lines));
    LONGS_EQUAL(980, omitted_lines);
}

TEST(event_rate_limiter, event_is_not_limited_by_lines_of_another_event)
{
    std::uint64_t omitted_lines = 0;
    for (int i = 0; i < 100; ++i)
        limiter.try_acquire("a", now, omitted_lines);
    CHECK(limiter.try_acquire("b", now, omitted_lines));
}
