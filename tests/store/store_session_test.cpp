#include "store/store_session_fixture.hpp"

#include <algorithm>
#include <utility>
#include <vector>

using namespace samphire;

TEST_GROUP_BASE(store_session, store_session_fixture){};

// Guards against policy changes that are missed between the read and the watch.
TEST(store_session, policy_that_was_read_is_watched_from_its_revision)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    LONGS_EQUAL(1, sink.policies_.size());
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(40, last_call().revision_);
}

// Guards against watching from a revision that the store no longer knows.
TEST(store_session, dropped_history_has_the_policy_read_again_at_once)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    reply(store_action::watch_policy, {.status_ = store_status::history_gone});
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
}

// Guards against calling an unavailable store too often, or hardly ever.
TEST(store_session, store_that_is_down_is_called_with_growing_pauses)
{
    session.start(now);
    unsigned calls = 0;
    for (int i = 0; i < 1000; ++i)
    {
        now += absl::Milliseconds(10);
        session.tick(now);
        if (open_calls(store_action::read_policy) == 0)
            continue;
        ++calls;
        reply(store_action::read_policy, {.status_ = store_status::refused});
        CHECK_FALSE(sink.reachable_);
    }
    CHECK(calls >= 6);
    CHECK(calls <= 24);
}

// Guards against creating an object that the store may contain already.
TEST(store_session, own_object_is_created_once_the_list_is_known)
{
    session.start(now);
    session.set_own_record(own_record, now);
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
    reply(store_action::list_upstreams, {.status_ = store_status::done});
    LONGS_EQUAL(1, open_calls(store_action::create_upstream));
    reply(
        store_action::create_upstream,
        {.status_ = store_status::done, .object_revision_ = 9});
    CHECK(session.is_own_record_stored());
}

// Guards against overwriting an object without the condition that its revision
// is unchanged.
TEST(store_session, change_replaces_the_object_under_its_revision)
{
    start_with_empty_list();
    session.set_own_record(own_record, now);
    reply(
        store_action::create_upstream,
        {.status_ = store_status::done, .object_revision_ = 9});
    upstream_record leaving = own_record;
    leaving.phase_ = upstream_phase::leaving;
    session.set_own_record(leaving, now);
    LONGS_EQUAL(1, open_calls(store_action::replace_upstream));
    LONGS_EQUAL(9, last_call().revision_);
}

// Guards against a repeated write while the first one may have taken effect or
// may still do so.
TEST(store_session, lost_answer_of_a_write_is_followed_by_a_read)
{
    start_with_empty_list();
    session.set_own_record(own_record, now);
    reply(store_action::create_upstream, {.status_ = store_status::unknown});
    advance_time(absl::Seconds(2));
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .upstreams_ = {{"me", 12, own_record}}});
    CHECK(session.is_own_record_stored());
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
}

// Guards against repeating a write under a revision that has been replaced.
TEST(store_session, conflicting_write_is_repeated_under_the_new_revision)
{
    start_with_empty_list();
    session.set_own_record(own_record, now);
    reply(store_action::create_upstream, {.status_ = store_status::conflict});
    advance_time(absl::Seconds(2));
    upstream_record other = own_record;
    other.slots_ = 1;
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done, .upstreams_ = {{"me", 30, other}}});
    LONGS_EQUAL(1, open_calls(store_action::replace_upstream));
    LONGS_EQUAL(30, last_call().revision_);
}

// Guards against needless writes after a restart.
TEST(store_session, unchanged_object_is_not_written)
{
    session.start(now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .upstreams_ = {{"me", 12, own_record}}});
    session.set_own_record(own_record, now);
    advance_time(absl::Seconds(5));
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
    LONGS_EQUAL(0, open_calls(store_action::replace_upstream));
}

// Guards against reporting an incomplete list as complete.
TEST(store_session, long_list_is_read_to_its_end)
{
    session.start(now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .has_more_ = true,
         .last_object_name_ = "k",
         .upstreams_ = {{"a", 1, own_record}}});
    CHECK(sink.lists_.empty());
    STRCMP_EQUAL("k", last_call().continue_after_name_.c_str());
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done, .upstreams_ = {{"z", 2, own_record}}});
    LONGS_EQUAL(2, sink.lists_.at(0).size());
}

// Guards against recreating the own object because a stale list lacks it, and
// against not recreating it when it is really missing.
TEST(store_session, object_missing_in_a_stale_list_is_checked_in_a_fresh_one)
{
    start_with_empty_list();
    session.set_own_record(own_record, now);
    reply(
        store_action::create_upstream,
        {.status_ = store_status::done, .object_revision_ = 9});
    advance_time(absl::Seconds(2));
    reply(store_action::list_upstreams, {.status_ = store_status::done});
    advance_time(absl::Seconds(1));
    CHECK_FALSE(last_call().stale_allowed_);
    reply(store_action::list_upstreams, {.status_ = store_status::done});
    LONGS_EQUAL(1, open_calls(store_action::create_upstream));
}

// Guards against a second long wait on a connection that accepts a watch but
// answers nothing, as a connection that fell silent does.
TEST(store_session, watch_after_a_lost_answer_is_short)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    reply(store_action::watch_policy, {.status_ = store_status::unknown});
    advance_time(absl::Milliseconds(200));
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    CHECK(last_call().max_watch_duration_ <= absl::Milliseconds(500));
    reply(store_action::watch_policy, policy_outcome(9, 60));
    CHECK(last_call().max_watch_duration_ > absl::Milliseconds(500));
}

// Guards against a change that is never applied because a watch ended without
// the change although the store's revision already included the change.
TEST(store_session, change_that_an_empty_watch_lacked_is_asked_for_again)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    store_outcome const empty{
        .status_ = store_status::done, .store_revision_ = 60};
    reply(store_action::watch_policy, empty);
    LONGS_EQUAL(40, last_call().revision_);
    reply(store_action::watch_policy, policy_outcome(9, 80));
    LONGS_EQUAL(80, last_call().revision_);
}

// Guards against a change that is skipped because its event cannot be decoded.
TEST(store_session, undecodable_change_has_the_policy_read_once_more)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    store_outcome const undecodable{
        .status_ = store_status::done,
        .store_revision_ = 60,
        .object_defects_ = {{"main", 5, "routes.r: no host"}}};
    reply(store_action::watch_policy, undecodable);
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    reply(store_action::read_policy, undecodable);
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(60, last_call().revision_);
}

// Guards against daemons that are all blind for the same time when a change
// ended all their watches at once and the next watches are lost.
TEST(store_session, daemons_that_saw_the_same_change_renew_at_other_times)
{
    std::vector<absl::Duration> durations;
    constexpr int daemon_count = 16;
    for (int i = 0; i < daemon_count; ++i)
    {
        recording_store_sink other_sink;
        random_source other_random{static_cast<std::uint64_t>(i)};
        store_session<recording_store_sink> other{
            {}, "other", other_random, other_sink};
        other.start(now);
        other.on_outcome(
            other_sink.calls_.front().first, policy_outcome(7, 40), now);
        durations.push_back(
            other_sink.calls_.back().second.max_watch_duration_);
    }
    std::sort(durations.begin(), durations.end());
    CHECK(durations.front() < absl::Seconds(4));
    CHECK(durations.back() - durations.front() > absl::Seconds(2));
    for (std::size_t i = 1; i < durations.size(); ++i)
        CHECK(durations[i] - durations[i - 1] < absl::Seconds(2));
}

// Guards against a daemon that never gets its own entry back after another
// writer has made it unreadable: creating it conflicts again and again.
TEST(store_session, own_object_that_became_unreadable_is_replaced)
{
    session.start(now);
    session.set_own_record(own_record, now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .object_defects_ = {{"me", 31, "slots: must be a number"}}});
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
    LONGS_EQUAL(1, open_calls(store_action::replace_upstream));
    LONGS_EQUAL(31, last_call().revision_);
}

TEST(store_session, first_list_without_own_object_shows_no_earlier_process)
{
    session.start(now);
    CHECK_FALSE(session.started_without_own_object());
    session.set_own_record(own_record, now);
    reply(store_action::list_upstreams, {.status_ = store_status::done});
    CHECK(session.started_without_own_object());
}

TEST(store_session, first_list_with_own_object_shows_an_earlier_process)
{
    session.start(now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .upstreams_ = {{"me", 7, {.daemon_ = endpoint(1, 7000)}}}});
    CHECK_FALSE(session.started_without_own_object());
}

TEST(store_session, unreadable_own_object_shows_an_earlier_process)
{
    session.start(now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .object_defects_ = {{"me", 31, "slots: must be a number"}}});
    CHECK_FALSE(session.started_without_own_object());
}

// Guards against an upstream that is trusted because the object of its daemon
// was removed while the daemon was running.
TEST(store_session, later_list_without_own_object_shows_nothing)
{
    session.start(now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .upstreams_ = {{"me", 7, {.daemon_ = endpoint(1, 7000)}}}});
    for (int i = 0; i < 2; ++i)
    {
        advance_time(absl::Seconds(2));
        reply(store_action::list_upstreams, {.status_ = store_status::done});
    }
    CHECK_FALSE(session.started_without_own_object());
}

TEST(store_session, unreadable_object_of_another_daemon_changes_nothing)
{
    session.start(now);
    session.set_own_record(own_record, now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .object_defects_ = {{"other", 31, "slots: must be a number"}}});
    LONGS_EQUAL(1, open_calls(store_action::create_upstream));
}

// Guards against a call to the store for each daemon and change: daemons that
// do not watch learn of changes from others.
TEST(store_session, daemon_that_does_not_watch_reads_now_and_then)
{
    session.set_watching(false, now);
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    LONGS_EQUAL(0, open_calls(store_action::watch_policy));
    LONGS_EQUAL(0, open_calls(store_action::read_policy));
    advance_time(absl::Seconds(6));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    CHECK(last_call().stale_allowed_);
    reply(store_action::read_policy, policy_outcome(9, 50));
    LONGS_EQUAL(2, sink.policies_.size());
    LONGS_EQUAL(0, open_calls(store_action::watch_policy));
}

// Guards against a change that was made before the watch starts.
TEST(store_session, daemon_that_becomes_a_watcher_reads_the_policy_first)
{
    session.set_watching(false, now);
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    session.set_watching(true, now);
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    CHECK_FALSE(last_call().stale_allowed_);
    reply(store_action::read_policy, policy_outcome(8, 60));
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(60, last_call().revision_);
}

TEST(store_session, watcher_that_is_released_does_not_renew_its_watch)
{
    session.start(now);
    reply(store_action::read_policy, policy_outcome(7, 40));
    session.set_watching(false, now);
    reply(store_action::watch_policy, policy_outcome(8, 50));
    LONGS_EQUAL(2, sink.policies_.size());
    LONGS_EQUAL(0, open_calls(store_action::watch_policy));
}

// Guards against a daemon without a policy that waits for the others.
TEST(store_session, first_read_is_fresh_and_repeated_until_it_succeeds)
{
    session.set_watching(false, now);
    session.start(now);
    reply(store_action::read_policy, {.status_ = store_status::refused});
    advance_time(absl::Seconds(2));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    CHECK_FALSE(last_call().stale_allowed_);
}

// Guards against a daemon that has just started again and replaces what its
// earlier process stored about the upstream with nothing.
TEST(store_session, record_without_upstream_does_not_replace_one_with_it)
{
    upstream_record const without_upstream{.daemon_ = endpoint(1, 7000)};
    session.start(now);
    session.set_own_record(without_upstream, now);
    reply(
        store_action::list_upstreams,
        {.status_ = store_status::done,
         .upstreams_ = {{"me", 12, own_record}}});
    advance_time(absl::Seconds(5));
    LONGS_EQUAL(0, open_calls(store_action::replace_upstream));
    session.set_own_record(own_record, now);
    LONGS_EQUAL(0, open_calls(store_action::replace_upstream));
    upstream_record leaving = own_record;
    leaving.phase_ = upstream_phase::leaving;
    session.set_own_record(leaving, now);
    LONGS_EQUAL(1, open_calls(store_action::replace_upstream));
}

TEST(store_session, record_without_upstream_makes_the_daemon_known)
{
    session.set_own_record({.daemon_ = endpoint(1, 7000)}, now);
    start_with_empty_list();
    advance_time(absl::Seconds(5));
    LONGS_EQUAL(1, open_calls(store_action::create_upstream));
}
