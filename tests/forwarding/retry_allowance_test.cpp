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

    bool claim()
    {
        return allowance.claim_retry(service, now);
    }

    int claim_all()
    {
        int claimed = 0;
        while (claim())
            ++claimed;
        return claimed;
    }

    static double within(
        std::vector<double> const& seconds, double from, double until)
    {
        return static_cast<double>(std::count_if(
            seconds.begin(),
            seconds.end(),
            [&](double each) { return each > from && each <= until; }));
    }
};

TEST(retry_allowance, retries_stay_within_the_ratio)
{
    int claimed = 0;
    for (int i = 0; i < 1000; ++i)
    {
        request();
        claimed += claim() ? 1 : 0;
    }
    CHECK(claimed <= 200);
    CHECK(claimed >= 130);
}

TEST(retry_allowance, unused_retries_of_the_window_allow_a_burst)
{
    request(1000);
    now += absl::Seconds(5);
    CHECK(claim_all() >= 130);
    CHECK_FALSE(claim());
}

TEST(retry_allowance, requests_before_the_window_earn_nothing)
{
    request(1000);
    now += absl::Milliseconds(10500);
    LONGS_EQUAL(2, claim_all());
}

TEST(retry_allowance, request_whose_calls_would_be_retried_earns_less)
{
    for (int i = 0; i < 1000; ++i)
        allowance.on_request(service, true, now);
    CHECK(claim_all() <= 52);
}

TEST(retry_allowance, calls_of_a_retried_run_use_up_the_allowance)
{
    request(100);
    for (int i = 0; i < 17; ++i)
        allowance.on_call_of_retry(service, now);
    CHECK_FALSE(claim());
}

TEST(retry_allowance, new_daemon_has_only_the_burst)
{
    LONGS_EQUAL(2, claim_all());
}

// Guards against a breach of the users' rule: the retries in any window stay
// within the ratio of the requests in that window, in the window before, or in
// the window that begins half a length earlier, whichever has the most
// requests.
TEST(retry_allowance, varying_load_stays_within_the_ratio_in_any_window)
{
    random_source random{5};
    std::vector<double> requests;
    std::vector<double> retries;
    double const length = absl::ToDoubleSeconds(window);
    absl::Time const start = now;
    for (int i = 0; i < 12000; ++i)
    {
        now += absl::Milliseconds(5);
        double const seconds = absl::ToDoubleSeconds(now - start);
        bool const is_peak = i / 1500 % 2 == 0;
        if (random() % 100 < (is_peak ? 90 : 15))
        {
            request();
            requests.push_back(seconds);
        }
        bool const failing = i / 700 % 3 == 1;
        if (failing && random() % 100 < 80 && claim())
            retries.push_back(seconds);
    }
    for (double end = length; end < 60; end += 0.05)
    {
        double const begin = end - length;
        double const max_requests = std::max(
            {within(requests, begin, end),
             within(requests, begin - length, begin),
             within(requests, begin - length / 2, end - length / 2)});
        CHECK(within(retries, begin, end) <= ratio * max_requests + burst);
    }
}
