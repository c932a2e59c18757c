#include "core/platform_operations.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(platform_operations)
{
    action_sink actions;
    platform_operations operations{actions};
    platform_request const request{.name_ = object_name("policy")};
};

// Guards against a reply that reaches another part, or is taken twice.
TEST(platform_operations, reply_is_routed_once_to_the_part_that_asked)
{
    auto const first = operations.call(platform_part::configuration, request);
    auto const second = operations.call(platform_part::key_bindings, request);
    CHECK(operations.finish(*second) == platform_part::key_bindings);
    CHECK(operations.finish(*first) == platform_part::configuration);
    CHECK_FALSE(operations.finish(*first).has_value());
}

// Guards against unbounded calls while the platform is slow.
TEST(platform_operations, full_table_refuses_without_a_call)
{
    for (std::size_t i = 0; i < platform_operations::capacity; ++i)
        CHECK(operations.call(platform_part::summaries, request).has_value());
    CHECK_FALSE(operations.call(platform_part::summaries, request).has_value());
    LONGS_EQUAL(platform_operations::capacity, actions.take().size());
}
