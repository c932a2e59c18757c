#include "forwarding/start_pacer.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(start_pacer)
{
    start_pacer pacer;
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void set_limit(std::uint32_t per_ks)
    {
        pacer.set_limit({true, per_ks}, now);
    }

    /// Starts requests as soon as they may start, for this time.
    unsigned starts_within(absl::Duration time)
    {
        unsigned starts = 0;
        for (absl::Time const end = now + time; now < end;
             now += absl::Milliseconds(1))
        {
            while (pacer.may_start(now) && starts < 100'000)
            {
                pacer.on_start(now);
                ++starts;
            }
        }
        return starts;
    }
};

// Guards against more than one and a half times the limit and five requests in
// any four seconds, which is what operators tolerate.
TEST(start_pacer, starts_keep_to_the_limit)
{
    for (std::uint32_t const per_ks : {250u, 1000u, 9500u, 36'200u, 400'000u})
    {
        set_limit(per_ks);
        now += absl::Seconds(60);
        double const allowed = 4 * per_ks / 1000.0;
        unsigned const starts = starts_within(absl::Seconds(4));
        CHECK(starts <= 1.5 * allowed + 5);
        CHECK(starts >= 0.9 * allowed);
    }
}

TEST(start_pacer, upstream_without_a_limit_is_not_paced)
{
    LONGS_EQUAL(100'000, starts_within(absl::Milliseconds(1)));
    CHECK(pacer.wait(100, now) == absl::ZeroDuration());
}

TEST(start_pacer, limit_that_is_lifted_no_longer_paces)
{
    set_limit(1000);
    starts_within(absl::Seconds(1));
    CHECK_FALSE(pacer.may_start(now));
    pacer.set_limit({true, 0}, now);
    CHECK(pacer.may_start(now));
}

TEST(start_pacer, raised_limit_applies_at_once)
{
    set_limit(100);
    starts_within(absl::Seconds(1));
    set_limit(100'000);
    CHECK(pacer.wait(0, now) <= absl::Milliseconds(10));
    CHECK(starts_within(absl::Seconds(1)) >= 90);
}

TEST(start_pacer, lowered_limit_applies_at_once)
{
    set_limit(100'000);
    starts_within(absl::Seconds(1));
    set_limit(1000);
    CHECK(starts_within(absl::Seconds(4)) <= 11);
}

TEST(start_pacer, wait_grows_with_the_requests_ahead)
{
    set_limit(10'000);
    starts_within(absl::Seconds(1));
    CHECK(pacer.wait(10, now) >= absl::Milliseconds(950));
    CHECK(pacer.wait(10, now) <= absl::Milliseconds(1150));
}
