#include "relay/event_budget.hpp"
#include "relay/stop_progress.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(stop_progress)
{
    stop_progress stop{absl::Seconds(6)};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
};

TEST(stop_progress, daemon_that_was_not_asked_goes_on)
{
    CHECK_FALSE(stop.finished(0, now));
}

// Its clients have to see that it is not ready before it goes.
TEST(stop_progress, idle_daemon_lingers)
{
    stop.begin(now);
    CHECK_FALSE(stop.finished(0, now + absl::Seconds(1)));
    CHECK(stop.finished(0, now + absl::Seconds(3)));
}

TEST(stop_progress, requests_in_progress_are_finished)
{
    stop.begin(now);
    CHECK_FALSE(stop.finished(1, now + absl::Seconds(4)));
    CHECK_FALSE(stop.finished(0, now + absl::Milliseconds(4100)));
    CHECK(stop.finished(0, now + absl::Milliseconds(4300)));
}

// Seen on the bench: a request taken 4.8 s after the stop signal was cut off.
TEST(stop_progress, request_that_could_be_cut_off_is_not_begun)
{
    CHECK(stop.takes_requests(now));
    stop.begin(now);
    CHECK(stop.takes_requests(now + absl::Seconds(2)));
    CHECK_FALSE(stop.takes_requests(now + absl::Milliseconds(3100)));
}

TEST(stop_progress, daemon_ends_before_it_would_be_killed)
{
    stop.begin(now);
    CHECK(stop.finished(9, now + absl::Milliseconds(5600)));
}

TEST_GROUP(event_budget)
{
    event_budget budget{10};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
};

TEST(event_budget, burst_is_cut_and_counted)
{
    std::uint64_t omitted = 0;
    unsigned written = 0;
    for (int i = 0; i < 1000; ++i)
        written += budget.take("e", now, omitted) ? 1 : 0;
    LONGS_EQUAL(20, written);
    CHECK(budget.take("e", now + absl::Seconds(1), omitted));
    LONGS_EQUAL(980, omitted);
}

TEST(event_budget, events_do_not_share_their_budget)
{
    std::uint64_t omitted = 0;
    for (int i = 0; i < 100; ++i)
        budget.take("a", now, omitted);
    CHECK(budget.take("b", now, omitted));
}
