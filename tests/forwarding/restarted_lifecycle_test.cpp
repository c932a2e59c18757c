#include "forwarding/lifecycle_fixture.hpp"

using namespace samphire;

/// A daemon that has started again beside an upstream which kept running.
TEST_GROUP_BASE(restarted_lifecycle, lifecycle_fixture)
{
    std::int64_t const before_daemon{absl::ToUnixMillis(now) - 60'000};
    std::int64_t const after_daemon{absl::ToUnixMillis(now) + 20'000};
    upstream_lifecycle lifecycle{daemon, address, "a", now};

    void setup() override
    {
        lifecycle.on_record_recovery_complete(now);
    }

    bool ready() const
    {
        return lifecycle.record().phase_ == upstream_phase::ready;
    }
};

// Guards against work for an upstream whose departure was acknowledged while
// the store was down, by a daemon that was killed together with all others.
TEST(restarted_lifecycle, late_heartbeat_does_not_open_the_upstream)
{
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now));
    now += absl::Minutes(1);
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, late_heartbeat_before_the_recovery_does_not_open)
{
    upstream_lifecycle recovering{daemon, address, "a", now};
    recovering.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    CHECK_FALSE(recovering.on_record_recovery_complete(now));
    CHECK(recovering.record().phase_ != upstream_phase::ready);
}

TEST(restarted_lifecycle, late_heartbeats_that_arrive_together_do_not_open)
{
    for (std::int64_t sequence = 9; sequence < 13; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        now += absl::Milliseconds(30);
    }
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, repeated_heartbeat_does_not_open_the_upstream)
{
    for (int i = 0; i < 5; ++i)
    {
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
        now += absl::Milliseconds(1500);
    }
    CHECK_FALSE(ready());
}

// Guards against work for an upstream that has left and of which several
// heartbeats arrive late, seconds apart.
TEST(restarted_lifecycle, no_number_of_late_heartbeats_opens_the_upstream)
{
    for (absl::Duration const interval :
         {absl::Milliseconds(30),
          absl::Milliseconds(1500),
          absl::Milliseconds(2200),
          absl::Seconds(9)})
    {
        for (std::int64_t i = 0; i < 6; ++i)
        {
            now += interval;
            lifecycle.on_heartbeat(
                heartbeat("i", before_daemon, absl::ToUnixMillis(now)), now);
            CHECK_FALSE(ready());
        }
    }
}

// Guards against work for an upstream that has left and whose answers to a few
// health checks are lost.
TEST(restarted_lifecycle, late_heartbeats_without_health_answers_do_not_open)
{
    for (std::int64_t i = 0; i < 20; ++i)
    {
        now += absl::Milliseconds(290);
        lifecycle.on_heartbeat(
            heartbeat("i", before_daemon, absl::ToUnixMillis(now)), now);
        lifecycle.on_health_check_unanswered(now);
        CHECK_FALSE(ready());
    }
}

// Guards against work for an upstream that has left, answered so once, and
// whose other answers are lost.
TEST(restarted_lifecycle, one_refused_health_check_outweighs_unanswered_ones)
{
    for (std::int64_t i = 0; i < 20; ++i)
    {
        now += absl::Milliseconds(1500);
        lifecycle.on_heartbeat(
            heartbeat("i", before_daemon, absl::ToUnixMillis(now)), now);
        if (i == 2)
            lifecycle.on_health_check_refused();
        else
            lifecycle.on_health_check_unanswered(now);
        CHECK_FALSE(ready());
    }
}

// Guards against an upstream without health checks that is never used.
TEST(restarted_lifecycle, upstream_that_answers_no_health_checks_is_opened)
{
    absl::Time const start = now;
    for (std::int64_t sequence = 9; !ready() && sequence < 20; ++sequence)
    {
        now += absl::Milliseconds(1500);
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        lifecycle.on_health_check_unanswered(now);
    }
    CHECK(ready());
    CHECK(now - start <= absl::Milliseconds(7500));
}

TEST(restarted_lifecycle, single_late_heartbeat_after_a_while_does_not_open)
{
    now += absl::Seconds(9);
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    CHECK_FALSE(lifecycle.on_health_check_unanswered(now));
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, refused_health_check_does_not_open_at_any_time)
{
    now += absl::Minutes(2);
    for (std::int64_t sequence = 9; sequence < 14; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        lifecycle.on_health_check_refused();
        now += absl::Milliseconds(1500);
    }
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, removal_outlasts_missing_health_answers)
{
    now += absl::Minutes(1);
    lifecycle.on_removal(upstream_id("i"), now);
    now += absl::Seconds(15);
    for (std::int64_t sequence = 9; sequence < 13; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        CHECK_FALSE(lifecycle.on_health_check_unanswered(now));
    }
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, first_process_of_a_daemon_needs_no_health_answer)
{
    lifecycle.on_no_earlier_process();
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 2), now);
    CHECK(lifecycle.on_health_check_unanswered(now));
    CHECK(ready());
}

// Guards against a departed upstream whose daemon never reached the store, or
// whose object the store has lost.
TEST(restarted_lifecycle, leaving_upstream_of_a_first_process_is_not_opened)
{
    lifecycle.on_no_earlier_process();
    for (std::int64_t sequence = 2; sequence < 12; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        CHECK(lifecycle.due_health_check().has_value());
        lifecycle.on_health_check_started();
        lifecycle.on_health_check_refused();
        now += absl::Milliseconds(1500);
    }
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, upstream_that_is_healthy_later_is_opened_then)
{
    for (std::int64_t sequence = 9; sequence < 14; ++sequence)
    {
        now += absl::Milliseconds(1500);
        lifecycle.on_heartbeat(heartbeat("i", before_daemon, sequence), now);
        CHECK(lifecycle.due_health_check().has_value());
        lifecycle.on_health_check_started();
    }
    CHECK(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK(ready());
}

// Guards against a restarted upstream that stays unused for seconds because its
// daemon had just started too.
TEST(restarted_lifecycle, successor_is_opened_by_its_first_health_check)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_healthy(upstream_id("i"), now);
    lifecycle.on_heartbeat(heartbeat("j", before_daemon + 61'000, 1), now);
    STRCMP_EQUAL("i", lifecycle.record().id_.value().c_str());
    CHECK(lifecycle.due_health_check().has_value());
    CHECK(lifecycle.on_healthy(upstream_id("j"), now));
    STRCMP_EQUAL("j", lifecycle.record().id_.value().c_str());
}

// Guards against a departed upstream whose clock was ahead when it started, so
// that it seems to have started after the daemon.
TEST(restarted_lifecycle, start_within_the_error_of_the_clock_needs_a_check)
{
    std::int64_t const ahead_of_daemon = absl::ToUnixMillis(now) + 5000;
    CHECK_FALSE(
        lifecycle.on_heartbeat(heartbeat("i", ahead_of_daemon, 9), now));
    CHECK_FALSE(ready());
    CHECK(lifecycle.on_healthy(upstream_id("i"), now));
}

TEST(restarted_lifecycle, upstream_that_started_later_is_opened_at_once)
{
    CHECK(lifecycle.on_heartbeat(heartbeat("i", after_daemon, 1), now));
    CHECK(ready());
}

TEST(restarted_lifecycle, late_heartbeat_does_not_displace_a_new_upstream)
{
    lifecycle.on_heartbeat(heartbeat("new", after_daemon, 1), now);
    CHECK_FALSE(
        lifecycle.on_heartbeat(heartbeat("old", before_daemon, 70), now));
    STRCMP_EQUAL("new", lifecycle.record().id_.value().c_str());
}

TEST(restarted_lifecycle, upstream_is_heard_after_the_departure_of_another)
{
    lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("old"),
         .start_time_ms_ = before_daemon - 1,
         .phase_ = upstream_phase::leaving},
        now);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now));
    now += absl::Seconds(2);
    CHECK_FALSE(lifecycle.on_heartbeat(heartbeat("i", before_daemon, 11), now));
    CHECK(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK(ready());
}

TEST(restarted_lifecycle, removal_outlasts_heartbeats_that_continue)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_removal(upstream_id("i"), now);
    now += absl::Seconds(30);
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 10), now);
    now += absl::Seconds(3);
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 11), now);
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, draining_outlasts_heartbeats_that_continue)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    CHECK(lifecycle.on_heartbeat(heartbeat("i", before_daemon, 11, true), now));
    now += absl::Seconds(3);
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 10), now);
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, healthy_upstream_is_opened_by_its_first_heartbeat)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    CHECK(lifecycle.due_health_check() == service_name("slots"));
    lifecycle.on_health_check_started();
    CHECK(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK(ready());
    LONGS_EQUAL(4, lifecycle.record().slots_);
}

TEST(restarted_lifecycle, each_heartbeat_has_one_health_check_made)
{
    CHECK_FALSE(lifecycle.due_health_check().has_value());
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_health_check_started();
    CHECK_FALSE(lifecycle.due_health_check().has_value());
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 10), now);
    CHECK(lifecycle.due_health_check().has_value());
}

TEST(restarted_lifecycle, open_upstream_needs_no_health_check)
{
    lifecycle.on_heartbeat(heartbeat("i", after_daemon, 1), now);
    CHECK_FALSE(lifecycle.due_health_check().has_value());
    lifecycle.on_heartbeat(heartbeat("old", before_daemon, 70), now);
    CHECK_FALSE(lifecycle.due_health_check().has_value());
    CHECK_FALSE(lifecycle.on_healthy(upstream_id("old"), now));
    STRCMP_EQUAL("i", lifecycle.record().id_.value().c_str());
}

TEST(restarted_lifecycle, health_check_of_another_upstream_does_not_open)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    CHECK_FALSE(lifecycle.on_healthy(upstream_id("j"), now));
    CHECK_FALSE(ready());
}

// Guards against an upstream that leaves while its health check is answered.
TEST(restarted_lifecycle, health_check_before_the_removal_does_not_open)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_health_check_started();
    lifecycle.on_removal(upstream_id("i"), now);
    CHECK_FALSE(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, health_check_does_not_undo_a_recovered_departure)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_recovered_record(
        {.daemon_ = daemon,
         .id_ = upstream_id("i"),
         .start_time_ms_ = before_daemon,
         .phase_ = upstream_phase::leaving},
        now);
    CHECK_FALSE(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK_FALSE(ready());
}

TEST(restarted_lifecycle, health_check_before_draining_does_not_open)
{
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 9), now);
    lifecycle.on_heartbeat(heartbeat("i", before_daemon, 10, true), now);
    CHECK_FALSE(lifecycle.on_healthy(upstream_id("i"), now));
    CHECK_FALSE(ready());
}
