#include "routing/two_choice_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace samphire;

TEST_GROUP(two_choice_selector)
{
    two_choice_selector selector;
    random_source random{7};
    service_name const service{"slots"};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};
    std::vector<peer_candidate> peers;

    void add_peer(bool local = true)
    {
        auto const number = static_cast<std::uint32_t>(peers.size() + 1);
        peers.push_back(
            {.daemon_ = daemon_id(std::to_string(number)),
             .endpoint_ = endpoint(number, 7000),
             .incarnation_ = incarnation(number),
             .slots_ = 10,
             .is_in_local_domain_ = local});
    }

    std::size_t select(std::vector<endpoint> const& excluded = {})
    {
        return selector.select(service, peers, excluded, random, now)
            .value_or(peers.size());
    }

    /// Makes one call, which takes the latency of the chosen peer. Returns the
    /// index of that peer.
    std::size_t make_call(std::vector<absl::Duration> const& latencies)
    {
        std::size_t const chosen = select();
        endpoint const peer = peers[chosen].endpoint_;
        selector.on_call_sent(service, peer, now);
        now += latencies[chosen];
        selector.on_call_finished(
            service, peer, call_outcome::completed, latencies[chosen], now);
        return chosen;
    }

    std::map<std::size_t, unsigned> make_calls(
        std::vector<absl::Duration> const& latencies, unsigned count)
    {
        std::map<std::size_t, unsigned> chosen;
        for (unsigned i = 0; i < count; ++i)
            ++chosen[make_call(latencies)];
        return chosen;
    }
};

// Guards against sending a retry to the guard that has just failed.
TEST(two_choice_selector, excluded_peers_are_not_chosen)
{
    add_peer();
    add_peer();
    for (unsigned i = 0; i < 20; ++i)
        LONGS_EQUAL(1, select({peers[0].endpoint_}));
    LONGS_EQUAL(2, select({peers[0].endpoint_, peers[1].endpoint_}));
}

// Guards against a straggler that keeps its full share of the calls, and
// against one that is never probed.
TEST(two_choice_selector, straggler_gets_at_most_one_percent)
{
    for (unsigned i = 0; i < 3; ++i)
        add_peer();
    absl::Duration const latency = absl::Milliseconds(20);
    make_calls({10 * latency, latency, latency}, 200);
    auto const chosen = make_calls({10 * latency, latency, latency}, 3000);
    CHECK(chosen.contains(0));
    CHECK(chosen.at(0) <= 30);
}

// Guards against a peer that is treated as a straggler after it has recovered.
TEST(two_choice_selector, recovered_straggler_gets_calls_again)
{
    for (unsigned i = 0; i < 3; ++i)
        add_peer();
    absl::Duration const latency = absl::Milliseconds(20);
    make_calls({10 * latency, latency, latency}, 200);
    make_calls({latency, latency, latency}, 6000);
    CHECK(make_calls({latency, latency, latency}, 1000)[0] > 200);
}

// Guards against overloading an upstream that has just started.
TEST(two_choice_selector, cold_peer_ramps_up_over_ten_seconds)
{
    add_peer();
    add_peer();
    std::vector<absl::Duration> const even(3, absl::Milliseconds(10));
    make_calls(even, 1000);
    add_peer();
    CHECK(make_calls(even, 100)[2] < 25);
    now += absl::Seconds(10);
    CHECK(make_calls(even, 300)[2] > 60);
}

// Guards against calls that cross failure domains without need.
TEST(two_choice_selector, local_domain_is_used_while_it_has_free_slots)
{
    add_peer();
    add_peer(false);
    absl::Duration const latency = absl::Milliseconds(20);
    LONGS_EQUAL(500, make_calls({latency, latency}, 500)[0]);
}

// Guards against refusing work for which another failure domain has free slots.
TEST(two_choice_selector, calls_spill_over_after_refusals_of_the_local_domain)
{
    add_peer();
    add_peer(false);
    unsigned remote = 0;
    for (unsigned i = 0; i < 200; ++i)
    {
        std::size_t const chosen = select();
        endpoint const peer = peers[chosen].endpoint_;
        selector.on_call_sent(service, peer, now);
        now += absl::Milliseconds(10);
        remote += chosen == 1 ? 1 : 0;
        selector.on_call_finished(
            service,
            peer,
            chosen == 0 ? call_outcome::not_run : call_outcome::completed,
            absl::Milliseconds(10),
            now);
    }
    CHECK(remote > 50);
}

// Guards against hedges that add load while every peer is slow.
TEST(two_choice_selector, hedges_are_bounded_to_two_percent)
{
    add_peer();
    unsigned taken = 0;
    for (unsigned i = 0; i < 1000; ++i)
    {
        selector.hedge_delay(service, now);
        taken += selector.try_take_hedge(service, now) ? 1 : 0;
    }
    CHECK(taken > 10);
    CHECK(taken <= 20);
}

// Guards against keeping state for every service name that a caller invents.
TEST(two_choice_selector, service_without_peers_has_no_choice)
{
    CHECK_FALSE(selector.select(service, peers, {}, random, now).has_value());
}
