#include "forwarding/least_wait_placement.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace samphire;

TEST_GROUP(least_wait_placement)
{
    least_wait_placement policy;
    random_source random{3};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
    std::vector<std::unique_ptr<peer_state>> states;
    std::vector<peer_state*> peers;
    bool explore{};

    peer_state& add(std::uint32_t run_time_us, std::string const& zone = "a")
    {
        auto state = std::make_unique<peer_state>();
        auto const number = static_cast<std::uint32_t>(states.size() + 1);
        state->record_ = {
            .daemon_ = endpoint(number, 7000),
            .zone_ = zone,
            .slots_ = 10,
            .phase_ = upstream_phase::ready};
        state->connected_ = true;
        state->last_sent_ = now;
        state->load_report_time_ = now;
        state->load_ = {
            .slots_ = 10, .run_time_us_ = run_time_us, .accepts_work_ = true};
        peers.push_back(state.get());
        states.push_back(std::move(state));
        return *peers.back();
    }

    std::uint32_t choose(std::vector<endpoint> const& tried = {})
    {
        auto const chosen =
            policy.choose(peers, tried, "a", explore, now, random);
        return chosen ? chosen->peer_->record_.daemon_.address() : 0;
    }

    /// Chooses an upstream `count` times without an answer in between. Returns
    /// the number of requests sent to each upstream, by its number.
    std::vector<int> send_requests(int count)
    {
        std::vector<int> sent(peers.size() + 1);
        for (int i = 0; i < count; ++i)
        {
            auto const chosen = choose();
            ++peers[chosen - 1]->in_flight_requests_;
            ++sent[chosen];
        }
        return sent;
    }
};

TEST(least_wait_placement, upstreams_fill_in_proportion_to_their_speed)
{
    add(10'000);
    add(20'000);
    auto sent = send_requests(12);
    CHECK(sent[1] > sent[2]);
    auto more = send_requests(8);
    CHECK(sent[2] + more[2] >= 5);
}

TEST(least_wait_placement, full_upstream_is_not_chosen)
{
    add(10'000).load_.queued_executions_ = 50;
    add(30'000);
    LONGS_EQUAL(2, choose());
}

TEST(least_wait_placement, failing_upstream_is_not_chosen)
{
    add(10'000).load_.failed_permille_ = 600;
    add(30'000);
    LONGS_EQUAL(2, choose());
}

TEST(least_wait_placement, own_failure_domain_is_preferred_when_equal)
{
    add(10'000, "b");
    add(10'000, "a");
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(2, choose());
}

// Guards against traffic between failure domains, which costs money, while the
// own one has free slots: an upstream there is only a little more used.
TEST(least_wait_placement, lightly_used_failure_domain_keeps_its_requests)
{
    peer_state& own = add(100'000, "a");
    own.load_.running_executions_ = 2;
    add(100'000, "b");
    for (int i = 0; i < 100; ++i)
        LONGS_EQUAL(1, choose());
}

TEST(least_wait_placement, slow_failure_domain_overflows_to_others)
{
    add(200'000, "a");
    add(100'000, "b");
    for (int i = 0; i < 100; ++i)
        LONGS_EQUAL(2, choose());
}

TEST(least_wait_placement, full_failure_domain_overflows_to_others)
{
    add(10'000, "a").load_.queued_executions_ = 20;
    add(10'000, "b");
    LONGS_EQUAL(2, choose());
}

TEST(least_wait_placement, idle_upstream_is_tried_again)
{
    add(10'000);
    add(500'000).last_sent_ = now - absl::Seconds(3);
    LONGS_EQUAL(1, choose());
    explore = true;
    LONGS_EQUAL(2, choose());
}

// Guards against a new upstream, whose run time is unknown, getting no requests
// of other VMs.
TEST(least_wait_placement, new_upstream_is_given_the_mean_run_time)
{
    add(10'000).load_.running_executions_ = 6;
    add(0);
    LONGS_EQUAL(2, choose());
}

// Guards against a queue at the fastest upstream while others have free slots.
TEST(least_wait_placement, free_slot_goes_before_the_queue_of_a_fast_upstream)
{
    add(22'000).load_.running_executions_ = 10;
    peers[0]->load_.queued_executions_ = 6;
    add(46'000).load_.running_executions_ = 5;
    LONGS_EQUAL(2, choose());
}

// Guards against failing every request that calls a service when a rolling
// restart stops all three guards of the service at once.
TEST(least_wait_placement, stopping_daemon_is_passed_over_while_others_are_free)
{
    add(10'000).is_stopping_ = true;
    peer_state& other = add(80'000);
    LONGS_EQUAL(2, choose());
    other.load_.accepts_work_ = false;
    LONGS_EQUAL(1, choose());
}

// Guards against an upstream that stays idle for the first 3 s of its daemon's
// stop while the others are slow or have a long queue (141 requests at one of
// four upstreams).
TEST(least_wait_placement, stopping_daemon_takes_work_where_others_have_a_queue)
{
    add(30'000).is_stopping_ = true;
    peer_state& busy = add(50'000);
    busy.load_.running_executions_ = 10;
    busy.load_.queued_executions_ = 50;
    LONGS_EQUAL(1, choose());
}

TEST(least_wait_placement, tried_and_closed_peers_are_not_chosen)
{
    add(10'000);
    add(10'000).load_.accepts_work_ = false;
    add(10'000).connected_ = false;
    add(10'000).record_.phase_ = upstream_phase::leaving;
    LONGS_EQUAL(1, choose());
    LONGS_EQUAL(0, choose({endpoint(1, 7000)}));
}

// Guards against a queue at an upstream that accepts few requests a second
// while others have free slots.
TEST(least_wait_placement, rate_limited_upstream_gets_little_of_a_burst)
{
    add(100'000).rate_limit_ = {true, 5000};
    add(100'000);
    std::vector<int> const sent = send_requests(10);
    CHECK(sent[1] <= 3);
    CHECK(sent[1] + sent[2] == 10);
}

TEST(least_wait_placement, queue_at_a_rate_limited_upstream_counts_as_a_wait)
{
    peer_state& limited = add(100'000);
    limited.rate_limit_ = {true, 5000};
    limited.load_.queued_executions_ = 10;
    auto const chosen = policy.choose(peers, {}, "a", false, now, random);
    CHECK(chosen.has_value());
    CHECK(chosen->expected_wait_ == absl::Seconds(2));
}
