#include "store/store_session_fixture.hpp"

#include <algorithm>
#include <vector>

using namespace samphire;

/// A watcher whose store comes back from a copy, in which its revisions name
/// other changes.
TEST_GROUP_BASE(restored_store, store_session_fixture){
    static store_outcome of_era(std::uint64_t era, store_outcome outcome = {}){
        outcome.store_era_ = era;
return outcome;
}

static store_outcome empty_watch(std::uint64_t revision)
{
    return {.status_ = store_status::done, .store_revision_ = revision};
}

store_outcome own_object(std::uint64_t revision) const
{
    return {
        .status_ = store_status::done,
        .object_revision_ = revision,
        .upstreams_ = {{"me", revision, own_record}}};
}

/// Leaves the session with a watch from revision 40 and its own object at
/// revision 9, both of era 1.
void setup() override
{
    session.start(now);
    session.set_own_record(own_record, now);
    reply(store_action::read_policy, of_era(1, policy_outcome(7, 40)));
    reply(
        store_action::list_upstreams,
        of_era(1, {.status_ = store_status::done}));
    reply(
        store_action::create_upstream,
        of_era(1, {.status_ = store_status::done, .object_revision_ = 9}));
    CHECK(session.is_own_record_stored());
}

/// Has the list of upstreams answered in era 2.
void restore()
{
    while (open_calls(store_action::list_upstreams) == 0)
        advance_time(absl::Milliseconds(100));
    reply(
        store_action::list_upstreams,
        of_era(
            2,
            {.status_ = store_status::done,
             .upstreams_ = {{"me", 9, own_record}}}));
}
}
;

// Guards against a change that is never applied because the store accepted a
// watch from a revision that it had given out again.
TEST(restored_store, watch_that_is_answered_in_a_new_era_is_followed_by_a_read)
{
    reply(store_action::watch_policy, of_era(2, empty_watch(41)));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    CHECK_FALSE(last_call().stale_allowed_);
    reply(store_action::read_policy, of_era(2, policy_outcome(8, 42)));
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(42, last_call().revision_);
    reply(store_action::watch_policy, of_era(2, empty_watch(50)));
    LONGS_EQUAL(42, last_call().revision_);
}

// Guards against waiting for the end of a watch that reports nothing.
TEST(restored_store, new_era_in_another_answer_replaces_the_watch)
{
    restore();
    session.tick(now);
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    LONGS_EQUAL(1, sink.restored_eras_.size());
    LONGS_EQUAL(2, sink.restored_eras_.front());
    reply(store_action::watch_policy, of_era(2, empty_watch(60)));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    reply(store_action::read_policy, of_era(2, policy_outcome(9, 43)));
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(43, last_call().revision_);
}

// Guards against a daemon that learns of the new era only at the end of a long
// watch.
TEST(restored_store, policy_is_read_after_calls_that_were_refused)
{
    reply(store_action::watch_policy, of_era(0));
    advance_time(absl::Milliseconds(200));
    reply(store_action::watch_policy, {.status_ = store_status::refused});
    advance_time(absl::Seconds(2));
    LONGS_EQUAL(0, open_calls(store_action::watch_policy));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
}

TEST(restored_store, second_return_has_the_policy_read_again)
{
    reply(store_action::watch_policy, of_era(2, empty_watch(41)));
    reply(store_action::read_policy, of_era(2, policy_outcome(8, 42)));
    reply(store_action::watch_policy, of_era(3, empty_watch(42)));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
}

// Guards against a session that stays deaf when eras do not rise.
TEST(restored_store, era_that_goes_back_has_the_policy_read_again)
{
    reply(store_action::watch_policy, of_era(2, empty_watch(41)));
    reply(store_action::read_policy, of_era(1, policy_outcome(8, 42)));
    reply(store_action::watch_policy, of_era(2, empty_watch(43)));
    LONGS_EQUAL(1, open_calls(store_action::read_policy));
    reply(store_action::read_policy, of_era(2, policy_outcome(9, 44)));
    LONGS_EQUAL(44, last_call().revision_);
}

TEST(restored_store, answer_without_an_era_changes_nothing)
{
    reply(store_action::watch_policy, of_era(0, empty_watch(60)));
    LONGS_EQUAL(1, open_calls(store_action::watch_policy));
    LONGS_EQUAL(40, last_call().revision_);
    CHECK(sink.restored_eras_.empty());
    CHECK(session.is_own_record_stored());
}

// Guards against a daemon that takes its object for stored although the copy
// is older than the object.
TEST(restored_store, object_that_the_copy_lacks_is_created_again)
{
    restore();
    CHECK_FALSE(session.is_own_record_stored());
    advance_time(absl::Milliseconds(100));
    LONGS_EQUAL(1, open_calls(store_action::read_upstream));
    STRCMP_EQUAL("me", last_call().name_.c_str());
    reply(
        store_action::read_upstream,
        of_era(2, {.status_ = store_status::missing}));
    LONGS_EQUAL(1, open_calls(store_action::create_upstream));
}

TEST(restored_store, object_that_the_copy_has_costs_one_read)
{
    restore();
    advance_time(absl::Milliseconds(100));
    reply(store_action::read_upstream, of_era(2, own_object(9)));
    CHECK(session.is_own_record_stored());
    LONGS_EQUAL(0, open_calls(store_action::create_upstream));
    LONGS_EQUAL(0, open_calls(store_action::replace_upstream));
}

// Guards against a departure that the store has lost and that is written only
// once the fleet has checked its objects, or under a revision of an earlier
// era.
TEST(restored_store, departure_is_written_under_the_revision_of_the_new_era)
{
    restore();
    upstream_record leaving = own_record;
    leaving.phase_ = upstream_phase::leaving;
    session.set_own_record(leaving, now);
    LONGS_EQUAL(0, open_calls(store_action::replace_upstream));
    LONGS_EQUAL(1, open_calls(store_action::read_upstream));
    reply(store_action::read_upstream, of_era(2, own_object(5)));
    LONGS_EQUAL(1, open_calls(store_action::replace_upstream));
    LONGS_EQUAL(5, last_call().revision_);
    CHECK(last_call().record_ == leaving);
}

TEST(restored_store, object_check_that_fails_is_repeated)
{
    restore();
    advance_time(absl::Milliseconds(100));
    reply(store_action::read_upstream, {.status_ = store_status::refused});
    LONGS_EQUAL(0, open_calls(store_action::read_upstream));
    advance_time(absl::Seconds(1));
    LONGS_EQUAL(1, open_calls(store_action::read_upstream));
}

// Guards against a list that joins the objects of two eras.
TEST(restored_store, list_that_spans_two_eras_is_read_from_its_start)
{
    while (open_calls(store_action::list_upstreams) == 0)
        advance_time(absl::Milliseconds(100));
    std::size_t const lists = sink.lists_.size();
    reply(
        store_action::list_upstreams,
        of_era(
            1,
            {.status_ = store_status::done,
             .has_more_ = true,
             .last_object_name_ = "k",
             .upstreams_ = {{"a", 1, own_record}}}));
    reply(
        store_action::list_upstreams,
        of_era(
            2,
            {.status_ = store_status::done,
             .upstreams_ = {{"z", 2, own_record}}}));
    LONGS_EQUAL(lists, sink.lists_.size());
    session.tick(now);
    LONGS_EQUAL(1, open_calls(store_action::list_upstreams));
    STRCMP_EQUAL("", last_call().continue_after_name_.c_str());
}

// Guards against a write that the store has taken in a new era and that is
// followed by a needless read.
TEST(restored_store, write_in_the_new_era_needs_no_check)
{
    upstream_record changed = own_record;
    changed.slots_ = 9;
    session.set_own_record(changed, now);
    reply(
        store_action::replace_upstream,
        of_era(2, {.status_ = store_status::done, .object_revision_ = 12}));
    CHECK(session.is_own_record_stored());
    advance_time(absl::Seconds(1));
    LONGS_EQUAL(0, open_calls(store_action::read_upstream));
}

// Guards against a fleet that exceeds the rates of the store when all daemons
// check their objects at the same time.
TEST(restored_store, checks_of_a_large_fleet_keep_within_the_rate)
{
    constexpr std::size_t daemon_count = 5100;
    constexpr double max_calls_per_second = 400;
    std::vector<stored_upstream> const fleet(
        daemon_count, {.name_ = "other", .revision_ = 1});
    constexpr int sample_size = 200;
    std::vector<absl::Duration> delays;
    for (int i = 0; i < sample_size; ++i)
    {
        recording_store_sink other_sink;
        random_source other_random{static_cast<std::uint64_t>(i)};
        store_session<recording_store_sink> other{
            {}, "other", other_random, other_sink};
        other.start(now);
        other.on_outcome(
            other_sink.calls_.back().first,
            of_era(1, {.status_ = store_status::done, .upstreams_ = fleet}),
            now);
        other.on_outcome(
            other_sink.calls_.front().first,
            of_era(2, policy_outcome(7, 40)),
            now);
        absl::Time check = now;
        auto const is_checked = [&]
        {
            return other_sink.calls_.back().second.action_ ==
                   store_action::read_upstream;
        };
        for (; !is_checked() && check < now + absl::Minutes(1);
             check += absl::Milliseconds(50))
            other.tick(check);
        delays.push_back(check - now);
    }
    std::sort(delays.begin(), delays.end());
    // The tenth of the daemons that checks in the shortest time.
    constexpr std::size_t group = sample_size / 10;
    absl::Duration shortest = absl::InfiniteDuration();
    for (std::size_t i = 0; i + group < delays.size(); ++i)
        shortest = std::min(shortest, delays[i + group] - delays[i]);
    double const calls_per_second =
        daemon_count / 10.0 / absl::ToDoubleSeconds(shortest);
    CHECK(calls_per_second < 2 * max_calls_per_second);
    CHECK(
        daemon_count / absl::ToDoubleSeconds(delays.back()) <
        max_calls_per_second);
}
