#include "store/watch_election.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace samphire;

TEST_GROUP(watch_election){
    static std::vector<endpoint> domain(std::uint32_t size){
        std::vector<endpoint> daemons;
for (std::uint32_t i = 1; i <= size; ++i)
    daemons.emplace_back(i, 7000);
return daemons;
}

/// Returns the daemons that watch when each knows all daemons but itself.
static std::vector<endpoint> watchers_of(std::vector<endpoint> const& daemons)
{
    std::vector<endpoint> watchers;
    for (endpoint const daemon : daemons)
    {
        std::vector<endpoint> others = daemons;
        std::erase(others, daemon);
        if (watch_election::is_watcher(daemon, others))
            watchers.push_back(daemon);
    }
    return watchers;
}
}
;

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
        CHECK(watch_election::is_watcher(daemon, {}));
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
