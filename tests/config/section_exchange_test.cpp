#include "base/hashing.hpp"
#include "config/section_exchange.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

TEST_GROUP(section_exchange)
{
    std::string const deep =
        std::string(200'000, '[') + std::string(200'000, ']');

    static section_reply reply_with(
        std::string const& base, std::string const& section)
    {
        return {
            revision(3),
            payload(base),
            {{service_name("s"), stable_hash(section)}},
            {payload(section)}};
    }
};

TEST(section_exchange, base_and_changed_section_are_assembled)
{
    auto const text = assemble_document({}, reply_with("{}", "{\"a\":1}"));
    CHECK(text.has_value());
    STRCMP_EQUAL("{\"services\":[{\"a\":1}]}", text->c_str());
}

// Guards against a peer's reply that ends the process: writing a deeply nested
// document again exhausts the stack.
TEST(section_exchange, deeply_nested_reply_is_malformed)
{
    CHECK_FALSE(assemble_document({}, reply_with("{\"a\":" + deep + "}", "{}"))
                    .has_value());
    CHECK_FALSE(assemble_document({}, reply_with("{}", deep)).has_value());
}
