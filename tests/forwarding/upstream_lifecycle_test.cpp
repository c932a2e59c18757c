#include "forwarding/lifecycle_fixture.hpp"

using namespace samphire;

TEST_GROUP_BASE(upstream_lifecycle, lifecycle_fixture)
{
    absl::Time const started_at{absl::UnixEpoch() - absl::Hours(1)};
    upstream_lifecycle lifecycle{daemon, address, "a", started_at};

    /// Applies heartbeats of one running process at the usual interval until
    /// `duration` has passed. The process answers health checks.
    void send_heartbeats(
        std::string const& id,
        std::int64_t start_time_ms,
        absl::Duration duration,
        std::int64_t first_sequence = 1)
    {
        constexpr absl::Duration interval = absl::Milliseconds(1500);
        absl::Time const end = now + duration;
        for (std::int64_t sequence = first_sequence; now <= end; ++sequence)
        {
            lifecycle.on_heartbeat(heartbeat(id, start_time_ms, sequence), now);
            if (lifecycle.due_health_check())
            {
                lifecycle.on_health_check_started();
                lifecycle.on_healthy(upstream_id(id), now);
            }
            now += interval;
        }
    }

    bool ready() const
    {
        return lifecycle.record().phase_ == upstream_phase::ready;
    }
};

TEST(upstream_lifecycle, heartbeat_waits_until_recovery_is_complete)
{
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 1), now));
    CHECK_FALSE(ready());
    CHECK(lifecycle.on_record_recovery_complete(now));
    CHECK(ready());
}

// Guards against sending work to a leaving upstream after its daemon, which had
// acknowledged the departure, was killed.
TEST(upstream_lifecycle, recovered_leaving_upstream_is_not_opened_again)
{
    lifecycle.on_heartbeat(heartbeat("i", 5, 9), now);
    lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("i"),
         .start_time_ms_ = 5,
         .phase_ = upstream_phase::leaving},
        now);
    lifecycle.on_record_recovery_complete(now);
    CHECK_FALSE(ready());
    lifecycle.on_heartbeat(heartbeat("i", 5, 10), now);
    CHECK_FALSE(ready());
}

// Guards against sending work to a leaving upstream after its daemon was killed
// before the acknowledged departure reached the store or a peer.
TEST(upstream_lifecycle, recovered_ready_record_does_not_open_the_upstream)
{
    upstream_record const recovered{
        .daemon_ = daemon,
        .id_ = upstream_id("i"),
        .start_time_ms_ = 5,
        .slots_ = 4,
        .phase_ = upstream_phase::ready};
    CHECK_FALSE(lifecycle.on_recovered_record(recovered, now));
    CHECK_FALSE(lifecycle.on_record_recovery_complete(now));
    CHECK_FALSE(lifecycle.on_recovered_record(recovered, now));
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, recovered_ready_upstream_is_opened_by_its_heartbeat)
{
    lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("i"),
         .start_time_ms_ = 5,
         .slots_ = 4,
         .phase_ = upstream_phase::ready},
        now);
    lifecycle.on_record_recovery_complete(now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 5, 9), now));
    CHECK(ready());
}

// Guards against work for an upstream whose departure the store reports only
// after the upstream's next heartbeat was applied.
TEST(upstream_lifecycle, departure_that_is_recovered_late_closes_the_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 9), now);
    CHECK(lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("i"),
         .start_time_ms_ = 5,
         .phase_ = upstream_phase::leaving},
        now));
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, recovered_departure_of_another_process_is_no_change)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 9), now);
    CHECK_FALSE(lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("j"),
         .start_time_ms_ = 8,
         .phase_ = upstream_phase::leaving},
        now));
    CHECK(ready());
}

TEST(upstream_lifecycle, late_heartbeat_does_not_undo_draining)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 2), now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 4, true), now);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 3), now));
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 5), now));
    CHECK_FALSE(ready());
}

// Guards against a draining heartbeat that is acknowledged and not applied
// because a later one was faster.
TEST(upstream_lifecycle, overtaken_draining_heartbeat_closes_the_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 4), now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 5, 3, true), now));
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, removal_without_draining_closes_the_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 2), now);
    CHECK(lifecycle.on_removal(upstream_id("i"), now));
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 3), now));
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, restart_under_the_same_id_is_opened)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 20), now);
    lifecycle.on_removal(upstream_id("i"), now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 6, 1), now));
    CHECK(ready());
}

// Guards against a heartbeat that a network partition delayed until its sender
// had crashed and been replaced.
TEST(upstream_lifecycle, heartbeat_of_an_earlier_upstream_is_ignored)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("new", 9, 1), now);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("old", 5, 70), now));
    STRCMP_EQUAL("new", lifecycle.record().id_.value().c_str());
}

TEST(upstream_lifecycle, draining_before_recovery_takes_effect_at_once)
{
    lifecycle.on_heartbeat(heartbeat("i", 5, 4, true), now);
    CHECK(lifecycle.record().phase_ == upstream_phase::leaving);
}

TEST(upstream_lifecycle, heartbeat_for_another_address_is_ignored)
{
    lifecycle.on_record_recovery_complete(now);
    upstream_heartbeat other = heartbeat("i", 5, 1);
    other.address_ = endpoint(2, 8000);
    CHECK_FALSE(lifecycle.on_heartbeat(other, now));
}

// Guards against requests to an upstream whose answers say that it is leaving
// while its heartbeats still say that it is ready.
TEST(upstream_lifecycle, leaving_answer_outlasts_later_ready_heartbeats)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 10, 1), now);
    CHECK(lifecycle.on_leaving_answer());
    CHECK_FALSE(lifecycle.on_leaving_answer());
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 10, 2), now));
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, upstream_that_starts_again_after_leaving_is_ready)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 10, 1), now);
    lifecycle.on_leaving_answer();
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 20, 1), now));
    CHECK(ready());
}

// Guards against an upstream that stays unused because another writer left a
// record of a later start, beside which each heartbeat is an old one.
TEST(upstream_lifecycle, record_of_a_start_in_the_future_is_not_believed)
{
    upstream_record const odd{
        .daemon_ = daemon,
        .id_ = upstream_id("odd"),
        .start_time_ms_ = 253'402'300'799'999,
        .service_ = service_name("slots"),
        .slots_ = 4,
        .phase_ = upstream_phase::ready};
    CHECK_FALSE(lifecycle.on_recovered_record(odd, now));
    lifecycle.on_record_recovery_complete(now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 5, 1), now));
    CHECK(ready());
}

TEST(upstream_lifecycle, heartbeat_of_a_start_in_the_future_is_ignored)
{
    lifecycle.on_record_recovery_complete(now);
    CHECK_FALSE(
        lifecycle.on_heartbeat(heartbeat("odd", 253'402'300'799'999, 1), now));
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 5, 1), now));
}

// Guards against an upstream that is never heard because it has started again
// after its clock was set back.
TEST(upstream_lifecycle, restart_with_an_earlier_start_time_is_heard)
{
    lifecycle.on_record_recovery_complete(now);
    send_heartbeats("i", 5000, absl::Seconds(5));
    send_heartbeats("j", 3000, absl::Seconds(5));
    CHECK(ready());
    STRCMP_EQUAL("j", lifecycle.record().id_.value().c_str());
    send_heartbeats("j", 1000, absl::Seconds(5));
    CHECK(ready());
    LONGS_EQUAL(1000, lifecycle.record().start_time_ms_);
}

// Guards against work for an upstream whose draining was acknowledged and
// ignored because it has an earlier start time than its predecessor.
TEST(
    upstream_lifecycle, draining_with_an_earlier_start_time_closes_the_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5000, 7), now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 3000, 1, true), now));
    CHECK_FALSE(ready());
    send_heartbeats("i", 3000, absl::Seconds(5), 2);
    CHECK_FALSE(ready());
}

TEST(
    upstream_lifecycle,
    removal_after_an_earlier_start_time_closes_both_processes)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5000, 7), now);
    lifecycle.on_heartbeat(heartbeat("i", 3000, 1), now);
    CHECK(lifecycle.on_removal(upstream_id("i"), now));
    send_heartbeats("i", 3000, absl::Seconds(5), 2);
    CHECK_FALSE(ready());
}

TEST(upstream_lifecycle, restart_after_departure_needs_no_later_start_time)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5000, 7), now);
    lifecycle.on_removal(upstream_id("i"), now);
    CHECK(lifecycle.on_heartbeat(heartbeat("j", 3000, 1), now));
    CHECK(ready());
    lifecycle.on_removal(upstream_id("j"), now);
    send_heartbeats("j", 1000, absl::Seconds(5));
    CHECK(ready());
}

TEST(upstream_lifecycle, late_heartbeats_do_not_replace_a_running_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("new", 9, 1), now);
    for (std::int64_t i = 0; i < 5; ++i)
    {
        CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("old", 5, 70 + i), now));
        now += absl::Milliseconds(750);
        lifecycle.on_heartbeat(heartbeat("new", 9, 2 + i), now);
        now += absl::Milliseconds(750);
    }
    STRCMP_EQUAL("new", lifecycle.record().id_.value().c_str());
}

// Guards against a running upstream that stays unused because another writer
// sent one heartbeat of a later start.
TEST(upstream_lifecycle, single_odd_heartbeat_does_not_displace_for_long)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5, 1), now);
    lifecycle.on_heartbeat(heartbeat("odd", 6, 1), now);
    send_heartbeats("i", 5, absl::Seconds(4), 2);
    STRCMP_EQUAL("i", lifecycle.record().id_.value().c_str());
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("odd", 6, 2), now));
}

// Guards against a late heartbeat of an upstream whose removal arrived before
// the restarted daemon had heard of it.
TEST(upstream_lifecycle, heartbeat_after_the_removal_of_an_unknown_process)
{
    lifecycle.on_record_recovery_complete(now);
    CHECK(lifecycle.on_removal(upstream_id("i"), now));
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 8), now));
    now += absl::Seconds(5);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 9), now));
    now += absl::Seconds(30);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", 5, 10), now));
}

// Guards against a heartbeat that arrives later than usual.
TEST(upstream_lifecycle, very_late_heartbeat_after_a_removal_needs_a_check)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_removal(upstream_id("i"), now);
    now += absl::Seconds(12);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", 5, 9), now));
    CHECK(lifecycle.due_health_check().has_value());
    CHECK(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK(ready());
}

// Guards against late heartbeats that displace a ready upstream, whose own are
// held up meanwhile.
TEST(upstream_lifecycle, heartbeats_alone_do_not_displace_a_ready_upstream)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("new", 9, 1), now);
    for (std::int64_t sequence = 70; sequence < 80; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("old", 5, sequence), now);
        if (lifecycle.due_health_check())
            CHECK_FALSE(lifecycle.on_healthy(upstream_id("new"), now));
        now += absl::Milliseconds(1500);
    }
    STRCMP_EQUAL("new", lifecycle.record().id_.value().c_str());
}

// Guards against a flood of health checks while a ready upstream is heard.
TEST(upstream_lifecycle, process_beside_a_ready_one_is_checked_after_a_while)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", 5000, 1), now);
    lifecycle.on_heartbeat(heartbeat("j", 3000, 1), now);
    CHECK_FALSE(lifecycle.due_health_check().has_value());
    now += absl::Seconds(2);
    lifecycle.on_heartbeat(heartbeat("j", 3000, 2), now);
    CHECK(lifecycle.due_health_check().has_value());
    CHECK(lifecycle.on_healthy(upstream_id("j"), now));
    STRCMP_EQUAL("j", lifecycle.record().id_.value().c_str());
}

TEST(upstream_lifecycle, heartbeat_that_is_not_applied_has_a_defect)
{
    upstream_heartbeat other = heartbeat("i", 5, 1);
    CHECK(lifecycle.defect_of(other, now).empty());
    other.address_ = endpoint(2, 8000);
    CHECK_FALSE(lifecycle.defect_of(other, now).empty());
    CHECK_FALSE(lifecycle.defect_of(heartbeat("i", 253'402'300'799'999, 1), now)
                    .empty());
}
