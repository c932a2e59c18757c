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
        admission_request const& wanted, unsigned count, absl::Duration time)
    {
        for (unsigned i = 0; i < count; ++i)
            shares.offered(wanted, time, now);
    }

    bool may_start(admission_request const& wanted, std::size_t long_waiting)
    {
        return shares.may_start(wanted, 10, long_waiting, now);
    }
};

// Guards against long work that holds every slot while short work waits.
TEST(class_shares, long_work_leaves_a_reserve_for_short_work)
{
    admission_request const slow = request(work_class::long_work);
    offer(slow, 100, absl::Seconds(1));
    unsigned started = 0;
    while (may_start(slow, 50))
    {
        shares.started(slow);
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
        shares.started(request(work_class::short_work));
        ++started;
    }
    CHECK(started >= 5);
    CHECK(started <= 8);
}

// Guards against slots that stay idle for long work that is not there.
TEST(class_shares, short_work_borrows_unused_slots_of_long_work)
{
    offer(request(work_class::long_work), 10, absl::Seconds(1));
    for (unsigned i = 0; i < 9; ++i)
        shares.started(request(work_class::short_work));
    CHECK(may_start(request(work_class::short_work), 0));
}

// Guards against others that take the slots which critical work needs.
TEST(class_shares, critical_floor_is_kept_from_others)
{
    admission_request const vital =
        request(work_class::short_work, importance::critical);
    // 64 x 0.1 s within an averaging time of 2 s are 3.2 slots.
    offer(vital, 64, absl::Milliseconds(100));
    for (unsigned i = 0; i < 7; ++i)
        shares.started(request(work_class::short_work));
    CHECK_FALSE(may_start(request(work_class::short_work), 0));
    CHECK(may_start(vital, 0));
}
