#include "store/watch_election.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace samphire;

namespace
{

std::vector<endpoint> domain(std::uint32_t size)
{
    std::vector<endpoint> daemons;
    for (std::uint32_t i = 1; i <= size; ++i)
        daemons.emplace_back(i, 7000);
    return daemons;
}

/// Returns the daemons that watch when each knows all daemons but itself, and
/// which of them have lost the store.
std::vector<endpoint> watchers_of(
    std::vector<endpoint> const& daemons,
    std::vector<endpoint> const& without_store = {})
{
    std::vector<watch_candidate> candidates;
    for (endpoint const daemon : daemons)
        candidates.push_back(
            {daemon,
             std::count(without_store.begin(), without_store.end(), daemon) ==
                 0});
    std::vector<endpoint> watchers;
    for (watch_candidate const& self : candidates)
    {
        std::vector<watch_candidate> others = candidates;
        std::erase(others, self);
        if (watch_election::is_watcher(self, others))
            watchers.push_back(self.daemon_);
    }
    return watchers;
}

} // namespace

TEST_GROUP(watch_election){};

TEST(watch_election, two_daemons_of_a_domain_watch)
{
    LONGS_EQUAL(2, watchers_of(domain(425)).size());
    LONGS_EQUAL(2, watchers_of(domain(5)).size());
    LONGS_EQUAL(1, watchers_of(domain(1)).size());
}

// Guards against a domain without a watcher after those that watch have
// disappeared one after the other.
TEST(watch_election, next_daemon_takes_the_place_of_a_lost_one)
{
    std::vector<endpoint> daemons = domain(20);
    while (!daemons.empty())
    {
        std::vector<endpoint> const watchers = watchers_of(daemons);
        LONGS_EQUAL(std::min<std::size_t>(daemons.size(), 2), watchers.size());
        std::erase(daemons, watchers.front());
    }
}

// Guards against a domain that relies on a daemon that it is not connected to.
TEST(watch_election, daemon_without_links_watches)
{
    for (endpoint const daemon : domain(20))
        CHECK(watch_election::is_watcher({daemon}, {}));
}

TEST(watch_election, other_daemons_keep_their_duty_when_one_joins)
{
    std::vector<endpoint> const before = watchers_of(domain(20));
    std::vector<endpoint> const after = watchers_of(domain(21));
    auto const kept = std::count_if(
        before.begin(),
        before.end(),
        [&](endpoint daemon) {
            return std::find(after.begin(), after.end(), daemon) != after.end();
        });
    CHECK(kept >= 1);
}

// Guards against a domain that learns of changes seconds late because the
// daemons that watch have lost the store and keep the duty.
TEST(watch_election, daemons_that_lost_the_store_are_replaced)
{
    std::vector<endpoint> const daemons = domain(20);
    std::vector<endpoint> without_store;
    int rounds = 0;
    for (; without_store.size() < daemons.size(); ++rounds)
    {
        std::vector<endpoint> const watchers =
            watchers_of(daemons, without_store);
        CHECK(watchers.size() >= 2 || without_store.size() + 1 == 20);
        CHECK(watchers.size() <= 8);
        for (endpoint const watcher : watchers)
            CHECK(
                std::find(
                    without_store.begin(), without_store.end(), watcher) ==
                without_store.end());
        without_store.insert(
            without_store.end(), watchers.begin(), watchers.end());
    }
    // Each round takes the time in which a daemon notices that it is cut off.
    CHECK(rounds <= 5);
}

TEST(watch_election, last_daemon_that_reaches_the_store_watches)
{
    std::vector<endpoint> without_store = domain(20);
    endpoint const last = without_store.back();
    without_store.pop_back();
    std::vector<endpoint> const watchers =
        watchers_of(domain(20), without_store);
    CHECK(std::find(watchers.begin(), watchers.end(), last) != watchers.end());
    LONGS_EQUAL(2, watchers.size());
}

// Guards against an outage after which no daemon watches, and against one in
// which all daemons call the store.
TEST(watch_election, same_daemons_watch_when_all_have_lost_the_store)
{
    CHECK(watchers_of(domain(20), domain(20)) == watchers_of(domain(20)));
}
