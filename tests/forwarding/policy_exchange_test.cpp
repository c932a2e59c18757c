#include "forwarding/policy_exchange.hpp"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace samphire;

TEST_GROUP(policy_exchange)
{
    random_source random{1};
    policy_exchange exchange{random};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    static endpoint peer(std::uint32_t number)
    {
        return endpoint(number, 7000);
    }

    /// Advances the time and returns the daemons that were asked meanwhile.
    std::vector<endpoint> advance_time(absl::Duration time)
    {
        std::vector<endpoint> asked;
        for (absl::Time const end = now + time; now < end;)
        {
            now += absl::Milliseconds(5);
            if (auto const daemon = exchange.next_daemon_to_ask(now))
                asked.push_back(*daemon);
        }
        return asked;
    }
};

// Guards against documents that grow with the square of the daemons: each
// daemon with a new policy sent the policy to each daemon that was behind.
TEST(policy_exchange, daemon_that_is_behind_asks_one_of_many_peers)
{
    exchange.on_own_version(3);
    for (std::uint32_t i = 1; i <= 64; ++i)
        exchange.on_peer_version(peer(i), 5, true, now);
    LONGS_EQUAL(1, advance_time(absl::Milliseconds(250)).size());
    exchange.on_own_version(5);
    CHECK(advance_time(absl::Seconds(2)).empty());
}

TEST(policy_exchange, version_that_arrives_from_the_store_is_not_asked_for)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 5, true, now);
    CHECK(advance_time(absl::Milliseconds(50)).empty());
    exchange.on_own_version(5);
    CHECK(advance_time(absl::Seconds(2)).empty());
}

TEST(policy_exchange, unanswered_request_goes_to_another_peer)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 5, true, now);
    exchange.on_peer_version(peer(2), 5, true, now);
    std::vector<endpoint> const asked = advance_time(absl::Milliseconds(550));
    LONGS_EQUAL(2, asked.size());
    CHECK(asked[0] != asked[1]);
}

// Guards against a daemon that stays behind because its only request was lost.
TEST(policy_exchange, only_peer_with_the_version_is_asked_again)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 5, true, now);
    CHECK(advance_time(absl::Seconds(1)).size() >= 3);
}

TEST(policy_exchange, daemon_without_a_policy_asks_at_once)
{
    exchange.on_peer_version(peer(1), 5, true, now);
    CHECK(exchange.next_daemon_to_ask(now) == peer(1));
}

TEST(policy_exchange, peer_with_an_older_version_is_not_asked)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 4, true, now);
    exchange.on_peer_version(peer(2), 5, true, now);
    for (endpoint const asked : advance_time(absl::Seconds(1)))
        CHECK(asked == peer(2));
}

TEST(policy_exchange, lost_peer_is_not_asked)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 5, true, now);
    exchange.on_peer_lost(peer(1));
    CHECK(advance_time(absl::Seconds(1)).empty());
    CHECK(exchange.next_deadline() == absl::InfiniteFuture());
}

// Guards against one daemon that sends the document to all others, because it
// was the first to announce the new version.
TEST(policy_exchange, daemons_that_are_behind_ask_different_peers)
{
    std::set<endpoint> asked;
    for (std::uint64_t seed = 0; seed < 32; ++seed)
    {
        random_source other_random{seed};
        policy_exchange other{other_random};
        other.on_own_version(3);
        for (std::uint32_t i = 1; i <= 16; ++i)
            other.on_peer_version(peer(i), 5, true, now);
        if (auto const daemon =
                other.next_daemon_to_ask(now + absl::Milliseconds(200)))
            asked.insert(*daemon);
    }
    CHECK(asked.size() >= 8);
}

TEST(policy_exchange, daemon_of_the_own_failure_domain_is_asked_first)
{
    exchange.on_own_version(3);
    exchange.on_peer_version(peer(1), 5, false, now);
    exchange.on_peer_version(peer(2), 5, true, now);
    exchange.on_peer_version(peer(3), 4, true, now);
    std::vector<endpoint> const asked = advance_time(absl::Milliseconds(550));
    LONGS_EQUAL(2, asked.size());
    CHECK(asked[0] == peer(2));
    CHECK(asked[1] == peer(1));
}
