#include "store/store_session_fixture.hpp"

using namespace samphire;

/// A daemon that waits for a change of the policy in the store.
TEST_GROUP_BASE(access_check, store_session_fixture){
    void setup() override{session.start(now);
reply(store_action::read_policy, policy_outcome(7, 40));
session.set_own_record(own_record, now);
reply(store_action::list_upstreams, {.status_ = store_status::done});
reply(
    store_action::create_upstream,
    {.status_ = store_status::done, .object_revision_ = 9});
LONGS_EQUAL(1, open_calls(store_action::watch_policy));
}

/// Waits for a check; returns the time until it started.
absl::Duration wait_for_check()
{
    absl::Time const start = now;
    while (open_calls(store_action::check_access) == 0 &&
           now < start + absl::Seconds(10))
        advance_time(absl::Milliseconds(10));
    return now - start;
}

void answer_check()
{
    reply(
        store_action::check_access,
        {.status_ = store_status::done,
         .object_revision_ = 9,
         .upstreams_ = {{"me", 9, own_record}}});
}
}
;

// Guards against a watcher that relies for seconds on a watch that the store,
// which has fallen silent for this machine, will never answer.
TEST(access_check, silent_store_is_noticed_within_a_second)
{
    absl::Time const start = now;
    while (sink.reachable_ && now < start + absl::Seconds(10))
        advance_time(absl::Milliseconds(10));
    CHECK(now - start <= absl::Seconds(1));
    advance_time(absl::Milliseconds(200));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    CHECK(last_call().fresh_connection_);
}

TEST(access_check, refused_check_gives_the_watch_up)
{
    wait_for_check();
    reply(store_action::check_access, {.status_ = store_status::refused});
    CHECK_FALSE(sink.reachable_);
    advance_time(absl::Milliseconds(200));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
}

TEST(access_check, answered_checks_leave_the_watch_waiting)
{
    for (int i = 0; i < 5; ++i)
    {
        CHECK(wait_for_check() >= absl::Milliseconds(300));
        answer_check();
    }
    CHECK(sink.reachable_);
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(0, open_calls(store_action::read_policy));
}

TEST(access_check, absent_object_shows_that_the_store_answers)
{
    wait_for_check();
    reply(store_action::check_access, {.status_ = store_status::missing});
    CHECK(sink.reachable_);
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
}

// Guards against the late end of a watch that was given up.
TEST(access_check, watch_that_was_given_up_changes_nothing)
{
    advance_time(absl::Seconds(1));
    reply(store_action::watch_policy, {.status_ = store_status::unknown});
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    reply(store_action::read_policy, policy_outcome(8, 60));
    CHECK(sink.reachable_);
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(60, last_call().revision_);
}

// Guards against calls to the store that serve nothing.
TEST(access_check, daemon_that_does_not_watch_makes_none)
{
    session.set_watching(false, now);
    advance_time(absl::Seconds(4));
    LONGS_EQUAL(0, open_calls(store_action::check_access));
}

TEST(access_check, new_era_is_noticed_while_the_watch_waits)
{
    wait_for_check();
    reply(
        store_action::check_access,
        {.status_ = store_status::done, .store_era_ = 1});
    CHECK(wait_for_check() <= absl::Milliseconds(500));
    reply(
        store_action::check_access,
        {.status_ = store_status::done, .store_era_ = 2});
    session.tick(now);
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
}
