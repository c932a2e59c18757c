#include "store/departed_sweep.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(departed_sweep)
{
    absl::Time const start{absl::UnixEpoch() + absl::Hours(1)};
    absl::Time now{start + absl::Hours(2)};
    std::vector<daemon_reachability> reachabilities;
    std::vector<stored_upstream> objects;

    static endpoint daemon(std::uint32_t number)
    {
        return endpoint(number, 7000);
    }

    void add_daemon(
        std::uint32_t number, absl::Duration unreachable_duration = {})
    {
        reachabilities.push_back({daemon(number), unreachable_duration});
        objects.push_back(
            {.name_ = daemon(number).text(),
             .revision_ = number,
             .record_ = {.daemon_ = daemon(number)}});
    }

    /// Returns the name of the object that the daemon with this number removes;
    /// empty for none.
    std::string object_removed_by(std::uint32_t number)
    {
        std::vector<daemon_reachability> others;
        for (daemon_reachability const& each : reachabilities)
        {
            if (each.daemon_ != daemon(number))
                others.push_back(each);
        }
        auto const chosen = departed_sweep(daemon(number), start)
                                .choose_object_to_remove(objects, others, now);
        return chosen ? chosen->name_ : "";
    }
};

// Guards against objects of departed daemons that remain, and against several
// daemons that remove the same object.
TEST(departed_sweep, object_of_a_lost_daemon_is_removed_by_one_daemon)
{
    for (std::uint32_t i = 1; i <= 10; ++i)
        add_daemon(i);
    add_daemon(11, absl::Minutes(31));
    int removers = 0;
    for (std::uint32_t i = 1; i <= 10; ++i)
        removers += object_removed_by(i) == daemon(11).text() ? 1 : 0;
    LONGS_EQUAL(1, removers);
}

// Guards against removing the object of a daemon that is only briefly
// unreachable.
TEST(departed_sweep, daemon_that_may_come_back_keeps_its_object)
{
    add_daemon(1);
    add_daemon(2);
    add_daemon(3, absl::Minutes(29));
    STRCMP_EQUAL("", object_removed_by(1).c_str());
    STRCMP_EQUAL("", object_removed_by(2).c_str());
}

// Guards against a daemon that is cut off by a network partition and removes
// the objects of the daemons on the other side.
TEST(departed_sweep, daemon_that_reaches_few_others_removes_nothing)
{
    add_daemon(1);
    add_daemon(2);
    for (std::uint32_t i = 3; i <= 8; ++i)
        add_daemon(i, absl::Hours(1));
    STRCMP_EQUAL("", object_removed_by(1).c_str());
    STRCMP_EQUAL("", object_removed_by(2).c_str());
}

// Guards against removals by a daemon that has not yet had time to connect.
TEST(departed_sweep, daemon_that_has_just_started_removes_nothing)
{
    add_daemon(1);
    add_daemon(2, absl::Hours(1));
    add_daemon(3);
    now = start + absl::Minutes(5);
    STRCMP_EQUAL("", object_removed_by(1).c_str());
    STRCMP_EQUAL("", object_removed_by(3).c_str());
}
