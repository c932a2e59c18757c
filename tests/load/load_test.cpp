#include "load/any_arrival_shape.hpp"
#include "load/arrival_plan.hpp"
#include "load/recovery_record.hpp"
#include "load/route_mix_parser.hpp"
#include "load/route_record.hpp"

#include <CppUTest/TestHarness.h>

#include <cmath>

using namespace samphire;

namespace
{

struct shape_case
{
    char const* name_;
    any_arrival_shape shape_;
    /// Expected numbers of arrivals in the seconds 0 to 3, 3 to 6 and 6 to 9.
    double expected_arrivals_[3];
};

} // namespace

TEST_GROUP(arrival_plan){static void count_arrivals(
    any_arrival_shape const& any_shape, double (&counts)[3]){std::visit(
    [&]<class Shape>(Shape const& shape)
    {
        arrival_plan<Shape> plan(shape, 7);
        for (absl::Duration at = plan.next(); at < absl::Seconds(9);
             at = plan.next())
            counts[at / absl::Seconds(3)] += 1;
    },
    any_shape);
}
}
;

// Guards against arrivals that do not follow the rate of their shape.
TEST(arrival_plan, shape_with_given_rates_has_expected_arrivals)
{
    shape_case const cases[] = {
        {"constant", constant_shape{1000}, {3000, 3000, 3000}},
        {"step",
         burst_shape{100, 1000, absl::Seconds(3), absl::InfiniteDuration()},
         {300, 3000, 3000}},
        {"burst",
         burst_shape{100, 1000, absl::Seconds(3), absl::Seconds(6)},
         {300, 3000, 300}},
        {"crest", peak_shape{100, 1000, absl::Seconds(9)}, {1589, 2878, 1589}}};
    for (shape_case const& row : cases)
    {
        double counts[3] = {};
        count_arrivals(row.shape_, counts);
        for (int n = 0; n < 3; ++n)
            DOUBLES_EQUAL_TEXT(
                row.expected_arrivals_[n],
                counts[n],
                // Tolerance: five standard deviations of a Poisson-distributed
                // number of arrivals.
                5 * std::sqrt(row.expected_arrivals_[n]),
                row.name_);
    }
}

TEST_GROUP(recovery_record)
{
    recovery_record record;

    void add_second(int second, int arrivals, int whole)
    {
        for (int n = 0; n < arrivals; ++n)
        {
            absl::Duration const at =
                absl::Seconds(second) + absl::Seconds(1) * n / arrivals;
            record.add_arrival(at);
            if (n < whole)
                record.add_whole_answer(at);
        }
    }
};

// Guards against a recovery that is reported before a further outage.
TEST(recovery_record, second_outage_delays_recovery_until_its_end)
{
    add_second(0, 100, 100);
    add_second(1, 100, 0);
    add_second(2, 100, 100);
    add_second(3, 100, 0);
    add_second(4, 100, 100);
    auto const time = record.recovery_time(absl::Seconds(1));
    CHECK(time.has_value());
    CHECK(*time >= absl::Seconds(3));
    CHECK(*time <= absl::Milliseconds(3500));
}

// Guards against a service that stays down and is reported as recovered.
TEST(recovery_record, outage_at_end_of_run_has_no_recovery_time)
{
    add_second(0, 100, 100);
    add_second(1, 100, 50);
    CHECK(!record.recovery_time(absl::ZeroDuration()).has_value());
}

TEST_GROUP(route_mix_parser){};

// Guards against a mistyped route that is silently left out of the load.
TEST(route_mix_parser, malformed_route_is_refused_and_valid_mix_is_parsed)
{
    for (char const* const text :
         {"",
          "slots",
          "slots/list:0",
          "slots/list:1:urgent",
          "slots/list:1:normal:tiny",
          "slots/list:1:normal:short:x"})
        CHECK_TEXT(!parse_route_mix(text).has_value(), text);
    auto const mix = parse_route_mix("a/b,c/d:3:important:long");
    CHECK(mix.has_value());
    LONGS_EQUAL(2, mix.value().size());
    CHECK(
        mix.value()[1] ==
        (route_share{
            "c/d", 3, route_importance::important, route_length::long_work}));
}

TEST_GROUP(route_record){};

// Guards against failures that lower the latency of whole answers.
TEST(route_record, latency_includes_only_whole_answers)
{
    route_record record;
    for (int n = 1; n <= 100; ++n)
        record.add_outcome(load_outcome::whole, absl::Milliseconds(n));
    record.add_outcome(load_outcome::not_run, absl::ZeroDuration());
    latency_summary const latency = record.latency();
    LONGS_EQUAL(100, latency.count_);
    DOUBLES_EQUAL(50, latency.p50_ms_, 0.001);
    DOUBLES_EQUAL(99, latency.p99_ms_, 0.001);
    DOUBLES_EQUAL(100, latency.highest_ms_, 0.001);
    LONGS_EQUAL(1, record.count(load_outcome::not_run));
}
