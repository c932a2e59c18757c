#include "load/any_shape.hpp"
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
    any_shape shape_;
    /// Expected arrivals in the seconds 0 to 3, 3 to 6 and 6 to 9.
    double expected_[3];
};

} // namespace

TEST_GROUP(arrival_plan){
    static void count(any_shape const& any, double (&counts)[3]){std::visit(
        [&]<class Shape>(Shape const& shape)
        {
            arrival_plan<Shape> plan(shape, 7);
            for (absl::Duration at = plan.next(); at < absl::Seconds(9);
                 at = plan.next())
                counts[at / absl::Seconds(3)] += 1;
        },
        any);
}
}
;

// Guards against a shape whose rate is not the one asked for.
TEST(arrival_plan, shape_of_given_rates_has_these_arrivals)
{
    shape_case const cases[] = {
        {"constant", constant_shape{1000}, {3000, 3000, 3000}},
        {"step",
         burst_shape{100, 1000, absl::Seconds(3), absl::InfiniteDuration()},
         {300, 3000, 3000}},
        {"burst",
         burst_shape{100, 1000, absl::Seconds(3), absl::Seconds(6)},
         {300, 3000, 300}},
        {"crest",
         crest_shape{100, 1000, absl::Seconds(9)},
         {1589, 2878, 1589}}};
    for (shape_case const& tried : cases)
    {
        double counts[3] = {};
        count(tried.shape_, counts);
        for (int n = 0; n < 3; ++n)
            DOUBLES_EQUAL_TEXT(
                tried.expected_[n],
                counts[n],
                // Five standard deviations of a Poisson count.
                5 * std::sqrt(tried.expected_[n]),
                tried.name_);
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
                record.add_whole(at);
        }
    }
};

// Guards against a recovery that is reported although service fell again.
TEST(recovery_record, service_back_after_a_second_fall_counts_the_last)
{
    add_second(0, 100, 100);
    add_second(1, 100, 0);
    add_second(2, 100, 100);
    add_second(3, 100, 0);
    add_second(4, 100, 100);
    auto const time = record.recovery(absl::Seconds(1));
    CHECK(time.has_value());
    CHECK(*time >= absl::Seconds(3));
    CHECK(*time <= absl::Milliseconds(3500));
}

// Guards against a service that stays down and is reported as recovered.
TEST(recovery_record, service_down_at_the_end_has_no_recovery)
{
    add_second(0, 100, 100);
    add_second(1, 100, 50);
    CHECK(!record.recovery(absl::ZeroDuration()).has_value());
}

TEST_GROUP(route_mix_parser){};

// Guards against mistyped routes that are left out of the load.
TEST(route_mix_parser, bad_part_is_refused_with_its_rule)
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
TEST(route_record, latency_covers_whole_answers_only)
{
    route_record record;
    for (int n = 1; n <= 100; ++n)
        record.add_end(load_outcome::whole, absl::Milliseconds(n));
    record.add_end(load_outcome::not_run, absl::ZeroDuration());
    latency_summary const latency = record.latency();
    LONGS_EQUAL(100, latency.count_);
    DOUBLES_EQUAL(50, latency.p50_, 0.001);
    DOUBLES_EQUAL(99, latency.p99_, 0.001);
    DOUBLES_EQUAL(100, latency.max_, 0.001);
    LONGS_EQUAL(1, record.count(load_outcome::not_run));
}
