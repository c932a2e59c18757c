#include "forwarding/upstream_directory.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(upstream_directory)
{
    upstream_directory directory{8};
    endpoint const daemon{1, 7000};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    upstream_record record(
        std::int64_t start_time_ms,
        upstream_phase phase = upstream_phase::ready) const
    {
        return {
            .daemon_ = daemon,
            .id_ = upstream_id("i-1"),
            .start_time_ms_ = start_time_ms,
            .service_ = service_name("slots"),
            .phase_ = phase};
    }

    void setup() override
    {
        directory.update_from_daemon(record(5));
        directory.set_connected(daemon, 1);
        directory.set_load_report(
            daemon, {.rate_limit_ = {true, 4000}, .accepts_work_ = true}, now);
    }
};

// Guards against a limit that is forgotten when the daemon beside the upstream
// restarts.
TEST(
    upstream_directory,
    restarted_daemon_that_knows_no_limit_keeps_the_known_one)
{
    directory.set_disconnected(daemon);
    directory.set_connected(daemon, 2);
    directory.set_load_report(daemon, {.accepts_work_ = true}, now);
    CHECK((directory.find(daemon)->rate_limit_ == rate_limit{true, 4000}));
    directory.set_load_report(
        daemon, {.rate_limit_ = {true, 0}, .accepts_work_ = true}, now);
    CHECK_FALSE(directory.find(daemon)->rate_limit_.is_limited());
}

TEST(upstream_directory, restarted_upstream_has_no_known_limit)
{
    directory.update_from_daemon(record(6));
    CHECK_FALSE(directory.find(daemon)->rate_limit_.is_known_);
}

// Guards against requests to a leaving upstream through a daemon that has
// restarted and takes the upstream's heartbeats at their word.
TEST(upstream_directory, leaving_upstream_does_not_become_usable_again)
{
    directory.set_leaving(daemon, 5);
    directory.update_from_daemon(record(5));
    directory.update_from_store(record(5), 1);
    CHECK(directory.find(daemon)->record_.phase_ == upstream_phase::leaving);
    CHECK(directory.contradicts_departure(record(5)));
}

TEST(upstream_directory, next_upstream_under_the_same_id_is_usable)
{
    directory.set_leaving(daemon, 5);
    CHECK_FALSE(directory.contradicts_departure(record(6)));
    directory.update_from_daemon(record(6));
    CHECK(directory.find(daemon)->record_.phase_ == upstream_phase::ready);
}

TEST(upstream_directory, departure_of_an_earlier_process_is_ignored)
{
    directory.set_leaving(daemon, 4);
    CHECK(directory.find(daemon)->record_.phase_ == upstream_phase::ready);
}

// Guards against a stored record that is ignored because the clock of its VM
// was set back before the upstream started again.
TEST(upstream_directory, later_revision_with_an_earlier_start_is_applied)
{
    directory.set_disconnected(daemon);
    directory.update_from_store(record(9), 2);
    directory.update_from_store(record(7), 3);
    LONGS_EQUAL(7, directory.find(daemon)->record_.start_time_ms_);
    directory.update_from_store(record(9), 2);
    LONGS_EQUAL(7, directory.find(daemon)->record_.start_time_ms_);
}

// Guards against records that are ignored after the store has come back from a
// copy, until its revisions have caught up.
TEST(upstream_directory, record_of_a_restored_store_is_applied)
{
    directory.set_disconnected(daemon);
    directory.update_from_store(record(7), 30);
    directory.forget_stored_revisions();
    directory.update_from_store(record(9), 12);
    LONGS_EQUAL(9, directory.find(daemon)->record_.start_time_ms_);
}

// Guards against a daemon that is passed over as a watcher for good because an
// earlier process of it had lost the store.
TEST(upstream_directory, restarted_daemon_is_taken_to_reach_the_store)
{
    CHECK(directory.find(daemon)->reaches_store_);
    directory.set_store_access(daemon, false);
    CHECK_FALSE(directory.find(daemon)->reaches_store_);
    directory.set_connected(daemon, 2);
    CHECK(directory.find(daemon)->reaches_store_);
}
