#include "forwarding/lifecycle_fixture.hpp"
#include "forwarding/upstream_directory.hpp"

using namespace samphire;

/// An upstream announces its departure to a daemon that has just started again
/// and has heard nothing of the upstream.
TEST_GROUP_BASE(unheard_departure, lifecycle_fixture)
{
    std::int64_t const start_time_ms{absl::ToUnixMillis(now) - 60'000};
    upstream_lifecycle lifecycle{daemon, address, "a", now};
    upstream_id const id{"i"};

    upstream_record stored_record() const
    {
        return {
            .daemon_ = daemon,
            .id_ = id,
            .start_time_ms_ = start_time_ms,
            .service_ = service_name("slots"),
            .zone_ = "a",
            .slots_ = 4,
            .phase_ = upstream_phase::ready};
    }

    upstream_record departed_record() const
    {
        upstream_record record = stored_record();
        record.phase_ = upstream_phase::leaving;
        return record;
    }
};

// Guards against a departure that only the memory of a restarted daemon holds:
// one more restart forgot it, and late heartbeats opened the upstream.
TEST(unheard_departure, removal_closes_the_upstream_that_the_store_knows)
{
    lifecycle.on_recovered_record(stored_record(), now);
    lifecycle.on_record_recovery_complete(now);
    CHECK(lifecycle.on_removal(id, now));
    CHECK(lifecycle.record() == departed_record());
}

TEST(unheard_departure, record_that_is_recovered_later_completes_the_departure)
{
    CHECK(lifecycle.on_removal(id, now));
    CHECK(lifecycle.on_recovered_record(stored_record(), now));
    CHECK(lifecycle.record() == departed_record());
    CHECK_FALSE(lifecycle.on_recovered_record(stored_record(), now));
}

TEST(unheard_departure, departure_that_is_recovered_later_names_the_process)
{
    lifecycle.on_removal(id, now);
    CHECK(lifecycle.on_recovered_record(departed_record(), now));
    CHECK(lifecycle.record() == departed_record());
}

TEST(unheard_departure, removal_before_the_recovery_is_published)
{
    lifecycle.on_heartbeat(heartbeat("i", start_time_ms, 8), now);
    CHECK(lifecycle.on_removal(id, now));
    CHECK(lifecycle.record() == departed_record());
    CHECK_FALSE(lifecycle.on_record_recovery_complete(now));
}

TEST(unheard_departure, removal_of_an_unconfirmed_upstream_is_published)
{
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", start_time_ms, 8), now);
    CHECK(lifecycle.on_removal(id, now));
    CHECK(lifecycle.record() == departed_record());
}

TEST(unheard_departure, removal_of_an_unknown_upstream_is_published)
{
    lifecycle.on_record_recovery_complete(now);
    CHECK(lifecycle.on_removal(id, now));
    CHECK(names_only_id(lifecycle.record()));
    CHECK(lifecycle.record().id_ == id);
    CHECK_FALSE(lifecycle.on_removal(id, now));
}

TEST(unheard_departure, next_daemon_believes_a_departure_without_a_start)
{
    lifecycle.on_recovered_record(
        {.daemon_ = daemon, .id_ = id, .phase_ = upstream_phase::leaving}, now);
    lifecycle.on_record_recovery_complete(now);
    for (std::int64_t sequence = 8; sequence < 12; ++sequence)
    {
        lifecycle.on_heartbeat(heartbeat("i", start_time_ms, sequence), now);
        lifecycle.on_healthy(id, now);
        now += absl::Milliseconds(1500);
    }
    CHECK(lifecycle.record().phase_ == upstream_phase::leaving);
}

// Guards against a running upstream that is closed by the late removal of its
// predecessor.
TEST(unheard_departure, removal_of_a_predecessor_does_not_close_the_upstream)
{
    lifecycle.on_recovered_record(
        {.daemon_ = daemon, .id_ = upstream_id("old"), .start_time_ms_ = 5},
        now);
    lifecycle.on_record_recovery_complete(now);
    lifecycle.on_heartbeat(heartbeat("i", start_time_ms, 8), now);
    lifecycle.on_healthy(id, now);
    CHECK_FALSE(lifecycle.on_removal(upstream_id("old"), now));
    CHECK(lifecycle.record().phase_ == upstream_phase::ready);
}

// Guards against peers that forget which process has left.
TEST(unheard_departure, peer_completes_a_departure_without_a_start)
{
    upstream_directory directory(4);
    directory.update_from_daemon(stored_record());
    upstream_record const unknown_start{
        .daemon_ = daemon, .id_ = id, .phase_ = upstream_phase::leaving};
    directory.update_from_daemon(unknown_start);
    CHECK(directory.find(daemon)->record_ == departed_record());
    CHECK(directory.contradicts_departure(stored_record()));
}
