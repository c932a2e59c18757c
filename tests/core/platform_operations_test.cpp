#include "core/platform_operations.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(platform_operations)
{
    action_sink actions;
    platform_operations operations{actions};
    platform_request const request{.name_ = object_name("policy")};
};

// Guards against a platform reply that reaches the wrong component or is
// handled twice.
TEST(platform_operations, reply_is_routed_once_to_the_owner_of_the_operation)
{
    auto const first = operations.call(operation_owner::configuration, request);
    auto const second = operations.call(operation_owner::key_bindings, request);
    CHECK(operations.finish(*second) == operation_owner::key_bindings);
    CHECK(operations.finish(*first) == operation_owner::configuration);
    CHECK_FALSE(operations.finish(*first).has_value());
}

// Guards against an unbounded number of platform calls in progress while the
// platform is slow.
TEST(platform_operations, full_table_refuses_without_a_call)
{
    for (std::size_t i = 0; i < platform_operations::capacity; ++i)
        CHECK(operations.call(operation_owner::summaries, request).has_value());
    CHECK_FALSE(
        operations.call(operation_owner::summaries, request).has_value());
    LONGS_EQUAL(platform_operations::capacity, actions.take_actions().size());
}
