#include "forwarding/capacity_estimate.hpp"
#include "forwarding/demand_estimate.hpp"
#include "forwarding/pressure_solver.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace samphire;

namespace
{

constexpr double per_kilosecond = 1000;

} // namespace

TEST_GROUP(demand_estimate)
{
    demand_estimate demand;
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    /// Adds one request of `weight` to the demand every 2 ms.
    void add_arrivals(double weight, absl::Duration time)
    {
        for (absl::Time const end = now + time; now < end;)
        {
            now += absl::Milliseconds(2);
            demand.add(1, weight, now);
        }
    }

    double rate(std::size_t urgency) const
    {
        return demand.rates_per_ks(now)[urgency] / per_kilosecond;
    }
};

TEST(demand_estimate, steady_arrivals_give_their_rate)
{
    add_arrivals(1, absl::Seconds(2));
    DOUBLES_EQUAL(500, rate(1), 10);
    DOUBLES_EQUAL(0, rate(0), 0);
}

TEST(demand_estimate, weighted_arrivals_count_as_the_requests_they_represent)
{
    add_arrivals(4, absl::Seconds(2));
    DOUBLES_EQUAL(2000, rate(1), 40);
}

TEST(demand_estimate, ended_load_peak_decays_to_a_tenth_within_a_second)
{
    add_arrivals(1, absl::Seconds(2));
    now += absl::Seconds(1);
    CHECK(rate(1) < 50);
}

TEST(demand_estimate, invalid_class_or_weight_is_ignored)
{
    demand.add(1000, 1, now);
    demand.add(0, 0, now);
    demand.add(0, -1, now);
    CHECK(demand.rates_per_ks(now).empty());
}

TEST_GROUP(capacity_estimate)
{
    static constexpr std::uint32_t slots = 30;

    capacity_estimate capacity;
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void run_for(
        std::uint32_t running,
        std::uint32_t queued,
        absl::Duration time,
        double demand_per_second = 500)
    {
        for (absl::Time const end = now + time; now < end;)
        {
            now += absl::Milliseconds(20);
            capacity.update(
                slots,
                running,
                queued,
                absl::Milliseconds(30),
                demand_per_second,
                now);
        }
    }

    double rate() const
    {
        return capacity.capacity_per_ks() / per_kilosecond;
    }
};

TEST(capacity_estimate, unknown_run_time_gives_no_capacity)
{
    capacity.update(slots, 0, 0, absl::ZeroDuration(), 0, now);
    LONGS_EQUAL(0, capacity.capacity_per_ks());
}

TEST(capacity_estimate, busy_slots_give_their_throughput)
{
    run_for(slots, 0, absl::Seconds(1));
    DOUBLES_EQUAL(1000, rate(), 1);
}

TEST(capacity_estimate, queue_reduces_the_capacity_at_once)
{
    run_for(slots, 0, absl::Seconds(1));
    run_for(slots, 4 * slots, absl::Milliseconds(20));
    CHECK(rate() < 800);
    CHECK(rate() > 600);
}

TEST(capacity_estimate, free_slots_under_high_demand_raise_the_capacity)
{
    run_for(slots / 2, 0, absl::Seconds(2), 3000);
    CHECK(rate() > 1400);
}

TEST(capacity_estimate, free_slots_under_low_demand_leave_the_capacity)
{
    run_for(slots / 2, 0, absl::Seconds(2));
    DOUBLES_EQUAL(1000, rate(), 1);
}

TEST_GROUP(pressure_solver)
{
    std::array<double, 3> const demand{50, 20, 30};

    std::uint32_t level(double capacity) const
    {
        return pressure_permille(demand, capacity);
    }
};

TEST(pressure_solver, demand_within_the_capacity_is_admitted)
{
    LONGS_EQUAL(0, level(100));
}

TEST(pressure_solver, least_urgent_class_gets_the_remaining_capacity)
{
    LONGS_EQUAL(500, level(75));
    LONGS_EQUAL(1000, level(50));
    LONGS_EQUAL(1500, level(40));
}

TEST(pressure_solver, most_urgent_class_is_always_partly_admitted)
{
    LONGS_EQUAL(2500, level(15));
    LONGS_EQUAL(2900, level(0));
}

TEST(pressure_solver, no_demand_gives_no_pressure)
{
    LONGS_EQUAL(0, pressure_permille({}, 0));
}
