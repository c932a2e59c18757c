#include "store/defect_register.hpp"
#include "store/entry_check.hpp"
#include "store/object_name.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(entry_check)
{
    absl::Time now{absl::UnixEpoch() + absl::Hours(1000)};
    endpoint const daemon{0x0a000001, 7000};
    upstream_record const record{
        .daemon_ = daemon,
        .id_ = upstream_id("i"),
        .start_time_ms_ = absl::ToUnixMillis(now),
        .service_ = service_name("s"),
        .slots_ = 4,
        .phase_ = upstream_phase::ready};
};

TEST(entry_check, entry_of_its_own_daemon_is_usable)
{
    entry_check const check({{object_name_of(daemon), 1, record}}, now);
    LONGS_EQUAL(1, check.usable().size());
    LONGS_EQUAL(0, check.rejected().size());
}

// Guards against another writer that speaks for a daemon, or that lists the
// address of a daemon a second time.
TEST(entry_check, entry_that_names_another_daemon_is_rejected)
{
    std::string const sound_name = object_name_of(daemon);
    entry_check const check(
        {{"copy", 1, record},
         {sound_name, 2, record},
         {object_name_of(endpoint(0x0a000002, 7000)), 3, record}},
        now);
    LONGS_EQUAL(1, check.usable().size());
    STRCMP_EQUAL(sound_name.c_str(), check.usable()[0].name_.c_str());
    LONGS_EQUAL(2, check.rejected().size());
    LONGS_EQUAL(3, check.rejected()[1].revision_);
}

TEST(entry_check, entry_of_a_start_in_the_future_is_rejected)
{
    upstream_record odd = record;
    odd.start_time_ms_ = absl::ToUnixMillis(now + absl::Hours(2));
    entry_check const check({{object_name_of(daemon), 1, odd}}, now);
    LONGS_EQUAL(0, check.usable().size());
    LONGS_EQUAL(1, check.rejected().size());
}

TEST_GROUP(defect_register)
{
    defect_register reported;
};

// Guards against a log line with each read of a list in which an odd entry
// stays.
TEST(defect_register, object_is_new_once_for_each_revision)
{
    CHECK(reported.is_new({"a", 1, "slots"}));
    CHECK_FALSE(reported.is_new({"a", 1, "slots"}));
    CHECK(reported.is_new({"b", 1, "slots"}));
    CHECK(reported.is_new({"a", 2, "slots"}));
    CHECK_FALSE(reported.is_new({"a", 2, "slots"}));
}

TEST(defect_register, oldest_object_is_forgotten_when_it_is_full)
{
    for (int i = 0; i < 10'000; ++i)
        CHECK(reported.is_new({"n" + std::to_string(i), 1, "slots"}));
    CHECK(reported.is_new({"n0", 1, "slots"}));
    CHECK_FALSE(reported.is_new({"n9999", 1, "slots"}));
}
