#include "quarantine/crash_detector.hpp"
#include "quarantine/crash_quarantine.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(crash_quarantine)
{
    absl::Time const now = absl::UnixEpoch() + absl::Hours(1);
    crash_quarantine quarantine;

    void report_crash(std::vector<fingerprint> const& in_flight)
    {
        quarantine.on_upstream_crash(in_flight, now);
    }

    bool is_assessed_as(
        suspicion expected, std::uint64_t request, absl::Time at) const
    {
        return quarantine.assess(fingerprint(request), at) == expected;
    }
};

// Guards against quarantining every request that was in flight together with
// the cause.
TEST(crash_quarantine, crash_of_many_makes_each_a_suspect)
{
    report_crash({fingerprint(1), fingerprint(2)});
    report_crash({fingerprint(1), fingerprint(2)});
    CHECK(is_assessed_as(suspicion::suspect, 1, now));
    CHECK(is_assessed_as(suspicion::suspect, 2, now));
}

// Guards against a third crash by the same request, and against a quarantine
// that never ends.
TEST(crash_quarantine, second_crash_alone_is_quarantined_for_ten_minutes)
{
    report_crash({fingerprint(1), fingerprint(2)});
    report_crash({fingerprint(1)});
    CHECK(is_assessed_as(suspicion::quarantined, 1, now));
    CHECK(is_assessed_as(suspicion::quarantined, 1, now + absl::Minutes(9)));
    CHECK(is_assessed_as(suspicion::clear, 1, now + absl::Minutes(10)));
}

// Guards against an innocent request that stays a suspect.
TEST(crash_quarantine, success_clears_a_suspect)
{
    report_crash({fingerprint(1), fingerprint(2)});
    CHECK(quarantine.on_request_completed(fingerprint(2), now));
    CHECK(is_assessed_as(suspicion::clear, 2, now));
    CHECK(is_assessed_as(suspicion::suspect, 1, now));
}

// Guards against repeated notices that extend a suspicion, and against a
// clearing notice that ends a quarantine.
TEST(crash_quarantine, repeated_notice_changes_nothing)
{
    quarantine.merge({fingerprint(1), 1, false}, now);
    quarantine.merge({fingerprint(1), 1, false}, now + absl::Minutes(9));
    CHECK(is_assessed_as(suspicion::clear, 1, now + absl::Minutes(10)));
    quarantine.merge({fingerprint(2), 2, true}, now);
    quarantine.merge({fingerprint(2), 0, false}, now);
    CHECK(is_assessed_as(suspicion::quarantined, 2, now));
}

// Guards against unbounded memory use after many crashes.
TEST(crash_quarantine, table_is_bounded)
{
    for (std::uint64_t request = 1; request <= 10000; ++request)
        report_crash({fingerprint(request), fingerprint(request + 1)});
    CHECK(quarantine.suspects(now).size() <= 2048);
    CHECK(is_assessed_as(suspicion::suspect, 10000, now));
}

// Guards against suspecting requests after the loss of a single connection.
TEST(crash_quarantine, one_lost_connection_of_several_is_no_crash)
{
    crash_detector detector;
    detector.on_connection_lost(execution_id(1), now);
    CHECK(!detector.has_crashed(2));
    detector.on_answered(now + absl::Milliseconds(10));
    CHECK(!detector.has_crashed(1));
    CHECK(detector.is_decision_due(now + absl::Milliseconds(20)));
    LONGS_EQUAL(1, detector.take_lost_requests().size());
    detector.on_connection_lost(execution_id(2), now);
    CHECK(detector.has_crashed(1));
}
