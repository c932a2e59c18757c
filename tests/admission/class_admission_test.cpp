#include "admission/class_admission.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(class_admission)
{
    class_admission admission{4};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void advance_time(absl::Duration time)
    {
        now += time;
    }

    static admission_request request(
        std::uint64_t number,
        importance level = importance::normal,
        std::uint32_t depth = 0)
    {
        return {
            .execution_ = execution_id(number),
            .request_ = {number, 0},
            .importance_ = level,
            .depth_ = depth};
    }

    std::uint64_t start_next_id()
    {
        return admission.start_next(now).value_or(execution_id()).value();
    }
};

// Guards against starting more requests than the upstream has slots because a
// stale load report shows the upstream as idle.
TEST(class_admission, low_report_does_not_raise_the_limit)
{
    admission.set_slots(1, now);
    admission.report_load(0, now);
    admission.offer(request(1), now);
    admission.offer(request(2), now);
    LONGS_EQUAL(1, start_next_id());
    LONGS_EQUAL(0, start_next_id());
}

// Guards against ignoring load on the upstream from outside the guard, and
// against a false report that stops all work.
TEST(class_admission, high_report_lowers_the_limit_at_most_by_half)
{
    admission.set_slots(2, now);
    admission.report_load(1000, now);
    admission.offer(request(1), now);
    admission.offer(request(2), now);
    LONGS_EQUAL(1, start_next_id());
    LONGS_EQUAL(0, start_next_id());
}

// Guards against counting the load of the guard in an old load report as load
// from outside the guard.
TEST(class_admission, late_report_of_own_load_keeps_the_limit)
{
    admission.set_slots(2, now);
    for (std::uint64_t number : {1, 2})
        admission.offer(request(number), now);
    start_next_id();
    start_next_id();
    admission.finish(execution_id(1), now);
    admission.finish(execution_id(2), now);
    advance_time(absl::Seconds(4));
    admission.report_load(2, now);
    for (std::uint64_t number : {3, 4})
        admission.offer(request(number), now);
    LONGS_EQUAL(3, start_next_id());
    LONGS_EQUAL(4, start_next_id());
}

// Guards against running less important work first, or new requests before
// calls for which more work was already done.
TEST(class_admission, queue_is_ordered_by_importance_depth_and_arrival)
{
    admission.offer(request(1), now);
    admission.offer(request(2, importance::normal, 3), now);
    admission.offer(request(3, importance::critical), now);
    admission.offer(request(4), now);
    admission.set_slots(4, now);
    LONGS_EQUAL(3, start_next_id());
    LONGS_EQUAL(2, start_next_id());
    LONGS_EQUAL(1, start_next_id());
    LONGS_EQUAL(4, start_next_id());
}

// Guards against shedding critical work because the queue is full of less
// important requests.
TEST(class_admission, full_queue_sheds_the_least_important)
{
    for (std::uint64_t number : {1, 2, 3, 4})
        LONGS_EQUAL(0, admission.offer(request(number), now).size());
    auto const shed = admission.offer(request(5, importance::critical), now);
    LONGS_EQUAL(1, shed.size());
    LONGS_EQUAL(4, shed[0].execution_.value());
    CHECK(shed[0].reason_ == outcome_reason::overloaded);
    LONGS_EQUAL(4, admission.queued_request_count());
    LONGS_EQUAL(6, admission.offer(request(6), now)[0].execution_.value());
}

// Guards against running work whose caller will have timed out.
TEST(class_admission, request_that_cannot_meet_its_deadline_is_shed_at_once)
{
    admission.set_slots(1, now);
    admission.offer(request(1), now);
    start_next_id();
    advance_time(absl::Milliseconds(100));
    admission.finish(execution_id(1), now);
    auto const shed = admission.offer(
        {.execution_ = execution_id(2),
         .deadline_ = now + absl::Milliseconds(50)},
        now);
    LONGS_EQUAL(1, shed.size());
    CHECK(shed[0].reason_ == outcome_reason::deadline);
}

// Guards against a guard that sheds every request forever because its estimated
// run time dates from a slow phase.
TEST(class_admission, run_time_estimate_decays_when_nothing_runs)
{
    admission.set_slots(1, now);
    admission.offer(request(1), now);
    start_next_id();
    advance_time(absl::Milliseconds(400));
    admission.finish(execution_id(1), now);
    advance_time(absl::Seconds(3));
    auto const shed = admission.offer(
        {.execution_ = execution_id(2),
         .deadline_ = now + absl::Milliseconds(100)},
        now);
    LONGS_EQUAL(0, shed.size());
}

// Guards against keeping a request in the queue until after its deadline.
TEST(class_admission, queued_request_expires_at_its_latest_start_time)
{
    admission.offer(
        {.execution_ = execution_id(1), .deadline_ = now + absl::Seconds(1)},
        now);
    CHECK(admission.next_deadline() == now + absl::Seconds(1));
    advance_time(absl::Seconds(1));
    LONGS_EQUAL(1, admission.expire(now).size());
    LONGS_EQUAL(0, admission.queued_request_count());
}

// Guards against a crash suspect whose crash also fails other requests.
TEST(class_admission, request_that_runs_alone_starts_with_no_other)
{
    admission.set_slots(4, now);
    admission.offer({.execution_ = execution_id(1), .runs_alone_ = true}, now);
    LONGS_EQUAL(1, start_next_id());
    admission.offer(request(2), now);
    LONGS_EQUAL(0, start_next_id());
    admission.finish(execution_id(1), now);
    LONGS_EQUAL(2, start_next_id());
}

// Guards against a crash suspect that never runs while other requests keep
// arriving.
TEST(class_admission, waiting_request_that_runs_alone_stops_new_starts)
{
    admission.set_slots(4, now);
    admission.offer(request(1), now);
    start_next_id();
    admission.offer({.execution_ = execution_id(2), .runs_alone_ = true}, now);
    advance_time(absl::Milliseconds(200));
    admission.offer(request(3), now);
    LONGS_EQUAL(0, start_next_id());
    admission.finish(execution_id(1), now);
    LONGS_EQUAL(2, start_next_id());
}

// Guards against crash suspects that starve all other work.
TEST(class_admission, others_run_between_two_requests_that_run_alone)
{
    admission.set_slots(4, now);
    admission.offer({.execution_ = execution_id(1), .runs_alone_ = true}, now);
    admission.offer({.execution_ = execution_id(2), .runs_alone_ = true}, now);
    LONGS_EQUAL(1, start_next_id());
    admission.offer(request(3), now);
    admission.finish(execution_id(1), now);
    LONGS_EQUAL(3, start_next_id());
}

// Guards against starting work while no upstream is announced.
TEST(class_admission, nothing_starts_without_slots)
{
    admission.offer(request(1, importance::critical), now);
    LONGS_EQUAL(0, start_next_id());
    LONGS_EQUAL(1, admission.queued_request_count());
}
