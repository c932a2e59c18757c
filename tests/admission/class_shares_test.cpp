#include "admission/class_shares.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(class_shares)
{
    class_shares shares;
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    static admission_request request(
        work_class kind, importance level = importance::normal)
    {
        return {.importance_ = level, .work_class_ = kind};
    }

    void offer(
        admission_request const& candidate,
        unsigned count,
        absl::Duration run_time)
    {
        for (unsigned i = 0; i < count; ++i)
            shares.on_offered(candidate, run_time, now);
    }

    bool may_start(
        admission_request const& candidate, std::size_t queued_long_requests)
    {
        return shares.may_start(candidate, 10, queued_long_requests, now);
    }
};

// Guards against long work that holds every slot while short work waits.
TEST(class_shares, long_work_leaves_a_reserve_for_short_work)
{
    admission_request const long_request = request(work_class::long_work);
    offer(long_request, 100, absl::Seconds(1));
    unsigned started = 0;
    while (may_start(long_request, 50))
    {
        shares.on_started(long_request);
        ++started;
    }
    CHECK(started >= 8);
    CHECK(started <= 9);
    CHECK(may_start(request(work_class::short_work), 50));
}

// Guards against short work that starves long work.
TEST(class_shares, waiting_long_work_keeps_its_share_from_short_work)
{
    offer(request(work_class::long_work), 10, absl::Seconds(1));
    offer(request(work_class::short_work), 1000, absl::Milliseconds(10));
    unsigned started = 0;
    while (may_start(request(work_class::short_work), 50))
    {
        shares.on_started(request(work_class::short_work));
        ++started;
    }
    CHECK(started >= 5);
    CHECK(started <= 8);
}

// Guards against slots that stay idle for long work while none is queued.
TEST(class_shares, short_work_borrows_unused_slots_of_long_work)
{
    offer(request(work_class::long_work), 10, absl::Seconds(1));
    for (unsigned i = 0; i < 9; ++i)
        shares.on_started(request(work_class::short_work));
    CHECK(may_start(request(work_class::short_work), 0));
}

// Guards against noncritical work that takes the slots which critical work
// needs.
TEST(class_shares, critical_reserve_is_not_used_by_noncritical_work)
{
    admission_request const critical_request =
        request(work_class::short_work, importance::critical);
    // 64 requests of 0.1 s in an averaging time of 2 s need 3.2 slots.
    offer(critical_request, 64, absl::Milliseconds(100));
    for (unsigned i = 0; i < 7; ++i)
        shares.on_started(request(work_class::short_work));
    CHECK_FALSE(may_start(request(work_class::short_work), 0));
    CHECK(may_start(critical_request, 0));
}
