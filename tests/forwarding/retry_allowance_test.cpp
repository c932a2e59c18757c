#include "base/random_source.hpp"
#include "forwarding/retry_allowance.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace samphire;

TEST_GROUP(retry_allowance)
{
    static constexpr double ratio = 0.2;
    static constexpr double burst = 2;

    absl::Duration const window{absl::Seconds(10)};
    retry_allowance allowance{ratio, burst, window};
    service_name const service{"s"};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void request(int count = 1)
    {
        for (int i = 0; i < count; ++i)
            allowance.on_request(service, false, now);
    }

    bool take()
    {
        return allowance.take(service, now);
    }

    int take_all()
    {
        int taken = 0;
        while (take())
            ++taken;
        return taken;
    }

    static double within(
        std::vector<double> const& at, double from, double until)
    {
        return static_cast<double>(std::count_if(
            at.begin(),
            at.end(),
            [&](double each) { return each > from && each <= until; }));
    }
};

TEST(retry_allowance, repeats_stay_within_the_ratio)
{
    int taken = 0;
    for (int i = 0; i < 1000; ++i)
    {
        request();
        taken += take() ? 1 : 0;
    }
    CHECK(taken <= 200);
    CHECK(taken >= 130);
}

TEST(retry_allowance, repeats_of_the_window_serve_a_burst_of_failures)
{
    request(1000);
    now += absl::Seconds(5);
    CHECK(take_all() >= 130);
    CHECK_FALSE(take());
}

TEST(retry_allowance, requests_before_the_window_earn_nothing)
{
    request(1000);
    now += absl::Milliseconds(10500);
    LONGS_EQUAL(2, take_all());
}

TEST(retry_allowance, request_whose_calls_would_be_repeated_earns_less)
{
    for (int i = 0; i < 1000; ++i)
        allowance.on_request(service, true, now);
    CHECK(take_all() <= 52);
}

TEST(retry_allowance, calls_of_a_repeated_run_use_it_up)
{
    request(100);
    for (int i = 0; i < 17; ++i)
        allowance.on_repeated_call(service, now);
    CHECK_FALSE(take());
}

TEST(retry_allowance, new_daemon_has_only_the_burst)
{
    LONGS_EQUAL(2, take_all());
}

// The users' rule: repeats of any window against the requests of that window,
// of the one before or of the one half a window before.
TEST(retry_allowance, swings_and_bursts_break_no_sliding_window)
{
    random_source random{5};
    std::vector<double> requests;
    std::vector<double> repeats;
    double const length = absl::ToDoubleSeconds(window);
    absl::Time const start = now;
    for (int i = 0; i < 12000; ++i)
    {
        now += absl::Milliseconds(5);
        double const at = absl::ToDoubleSeconds(now - start);
        bool const crest = i / 1500 % 2 == 0;
        if (random() % 100 < (crest ? 90 : 15))
        {
            request();
            requests.push_back(at);
        }
        bool const failing = i / 700 % 3 == 1;
        if (failing && random() % 100 < 80 && take())
            repeats.push_back(at);
    }
    for (double end = length; end < 60; end += 0.05)
    {
        double const begin = end - length;
        double const most = std::max(
            {within(requests, begin, end),
             within(requests, begin - length, begin),
             within(requests, begin - length / 2, end - length / 2)});
        CHECK(within(repeats, begin, end) <= ratio * most + burst);
    }
}
