#include "retry/chain_budget_retry.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(chain_budget_retry)
{
    chain_budget_retry policy;
    service_name const service{"slots"};
    retry_limits const limits{3, 10};
    absl::Time now{absl::UnixEpoch()};

    /// Returns the number of attempts at the last hop when every call fails
    /// there and every hop retries as often as its budget allows. Each hop
    /// grants its child call some of its budget and gets the unused attempts
    /// back.
    unsigned count_last_hop_attempts(std::uint32_t & budget, unsigned depth)
        const
    {
        if (depth == 0)
            return 1;
        unsigned total = 0;
        for (bool again = true; again;)
        {
            std::uint32_t granted_attempts = policy.granted_attempts(budget);
            budget -= granted_attempts;
            total += count_last_hop_attempts(granted_attempts, depth - 1);
            budget += granted_attempts;
            again = budget > 0;
            budget -= again ? 1 : 0;
        }
        return total;
    }

    unsigned count_allowed_retries(unsigned requested)
    {
        unsigned allowed = 0;
        for (unsigned i = 0; i < requested; ++i)
            allowed += policy.may_retry(service, limits, 3, 1, now) ? 1 : 0;
        return allowed;
    }
};

// Guards against retries that multiply with the depth of the chain.
TEST(chain_budget_retry, chain_of_five_hops_makes_budget_plus_one_attempts)
{
    std::uint32_t budget = policy.initial_budget(limits);
    LONGS_EQUAL(4, count_last_hop_attempts(budget, 5));
}

// Guards against retries that multiply with the depth in a chain of the maximum
// depth, 19 hops.
TEST(chain_budget_retry, chain_of_nineteen_hops_makes_budget_plus_one_attempts)
{
    std::uint32_t budget = policy.initial_budget(limits);
    LONGS_EQUAL(4, count_last_hop_attempts(budget, 19));
}

// Guards against parallel calls that each use the whole budget.
TEST(chain_budget_retry, attempts_of_parallel_children_stay_within_the_budget)
{
    std::uint32_t attempts_left = 7;
    std::uint32_t total_granted = 0;
    for (unsigned child = 0; child < 20; ++child)
    {
        std::uint32_t const granted_attempts =
            policy.granted_attempts(attempts_left);
        CHECK(granted_attempts <= attempts_left);
        attempts_left -= granted_attempts;
        total_granted += granted_attempts;
    }
    LONGS_EQUAL(7, total_granted);
    LONGS_EQUAL(0, policy.granted_attempts(0));
}

// Guards against a retry beyond the budget of the request.
TEST(chain_budget_retry, exhausted_budget_allows_no_retry)
{
    CHECK_FALSE(policy.may_retry(service, limits, 0, 1, now));
}

// Guards against a burst of saved retries that sustains an overload.
TEST(chain_budget_retry, service_without_first_attempts_may_retry_ten_times)
{
    LONGS_EQUAL(10, count_allowed_retries(200));
}

// Guards against retries above the stated percentage of first attempts.
TEST(chain_budget_retry, retries_are_a_tenth_of_first_attempts)
{
    count_allowed_retries(200);
    for (unsigned i = 0; i < 100; ++i)
        policy.on_first_attempt(service, now);
    LONGS_EQUAL(10, count_allowed_retries(200));
}

// Guards against a failing service that uses up the retries of other services.
TEST(chain_budget_retry, each_service_has_its_own_bucket)
{
    count_allowed_retries(200);
    CHECK(policy.may_retry(service_name("bookings"), limits, 3, 1, now));
}

// Guards against a table that callers grow with invented service names.
TEST(chain_budget_retry, service_beyond_table_capacity_gets_no_retries)
{
    for (unsigned i = 0; i < 4096; ++i)
        policy.on_first_attempt(service_name(std::to_string(i)), now);
    CHECK_FALSE(policy.may_retry(service, limits, 3, 1, now));
}
