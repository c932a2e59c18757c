#include "document/document_parts.hpp"
#include "document/field_reader.hpp"
#include "document/json_document.hpp"
#include "document/nesting_depth.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <string>

using namespace samphire;

TEST_GROUP(nesting_depth){};

TEST(nesting_depth, arrays_and_objects_count)
{
    LONGS_EQUAL(0, nesting_depth("7"));
    LONGS_EQUAL(1, nesting_depth("[1,2]"));
    LONGS_EQUAL(3, nesting_depth(R"({"a":[{},{}],"b":[]})"));
}

TEST(nesting_depth, brackets_in_strings_do_not_count)
{
    LONGS_EQUAL(1, nesting_depth(R"(["[[[[","\"[[","\\"])"));
}

TEST(nesting_depth, text_that_is_not_json_gives_a_depth)
{
    LONGS_EQUAL(2, nesting_depth("]]]}[["));
    LONGS_EQUAL(0, nesting_depth("\"[["));
    LONGS_EQUAL(0, nesting_depth("\"\\"));
}

TEST_GROUP(document_parts){};

TEST(document_parts, object_is_split_into_its_members)
{
    auto const members =
        split_members(R"( {"a" : [1,{"b":2}], "c":"x,}:", "d":{} } )");
    LONGS_EQUAL(3, members.size());
    CHECK(find_member(members, "a") == R"([1,{"b":2}])");
    CHECK(find_member(members, "c") == R"("x,}:")");
    CHECK(find_member(members, "d") == "{}");
    CHECK(find_member(members, "e").empty());
}

TEST(document_parts, array_is_split_into_its_elements)
{
    auto const elements =
        split_elements(R"([ 1e999, [[",]"]] , {"a":[1,2]} ])");
    LONGS_EQUAL(3, elements.size());
    CHECK(elements[0] == "1e999");
    CHECK(elements[1] == R"([[",]"]])");
    CHECK(elements[2] == R"({"a":[1,2]})");
    LONGS_EQUAL(0, split_elements("[]").size());
}

// Guards against an answer that was cut off and is read as a shorter list.
TEST(document_parts, incomplete_text_has_no_parts)
{
    for (char const* text :
         {"", "[", "[1,2", "[1,[2]", "[1],2]", "{\"a\":1", "7"})
        LONGS_EQUAL(0, split_elements(text).size());
    for (char const* text :
         {"", "{", "{\"a\":1", "{\"a\":{}", "{a:1}", "{1}", "[]"})
        LONGS_EQUAL(0, split_members(text).size());
}

TEST_GROUP(json_document){};

// Guards against a document that exhausts the stack of code that visits it.
TEST(json_document, deeply_nested_text_is_rejected)
{
    constexpr std::size_t max_depth = 32;
    std::string const open(max_depth, '[');
    std::string const close(max_depth, ']');
    CHECK(try_parse_document(open + close).is_array());
    CHECK(try_parse_document("[" + open + close + "]").is_discarded());
    CHECK(try_parse_document(std::string(2'000'000, '[')).is_discarded());
}

TEST(json_document, text_over_the_size_limit_is_rejected)
{
    document_limits const limits{.max_bytes_ = 4};
    CHECK(try_parse_document("[10]", limits).is_array());
    CHECK(try_parse_document("[100]", limits).is_discarded());
}

TEST(json_document, text_that_is_not_json_is_rejected)
{
    for (char const* text : {"", "{", "1e999", "\"\xff\"", "[1,]", "nul"})
        CHECK_THROWS(document_error, parse_document(text));
}

TEST_GROUP(field_reader)
{
    nlohmann::json document = nlohmann::json::parse(
        R"({"n":5,"big":18446744073709551615,"f":1.5,"t":"x","e":"",)"
        R"("z":null,"o":{}})");
    field_reader fields{document};
    number_range const small{0, 9};

    std::string error_of(std::function<void()> const& read) const
    {
        try
        {
            read();
        }
        catch (document_error const& error)
        {
            return error.what();
        }
        return {};
    }
};

TEST(field_reader, value_in_its_range_is_read)
{
    LONGS_EQUAL(5, fields.integer("n", small));
    LONGS_EQUAL(3, fields.integer("missing", small, 3));
    LONGS_EQUAL(3, fields.integer("z", small, 3));
    STRCMP_EQUAL("x", fields.text("t", 1).c_str());
    STRCMP_EQUAL("", fields.possibly_empty_text("e", 1).c_str());
    CHECK(
        fields.duration("f", absl::Seconds(1), absl::ZeroDuration()) ==
        absl::Microseconds(1500));
    CHECK(fields.object("o").empty());
}

TEST(field_reader, error_names_the_field_and_the_rule)
{
    STRCMP_EQUAL(
        "n: must be a whole number from 6 to 9",
        error_of(
            [&] {
                fields.integer("n", {6, 9});
            })
            .c_str());
    STRCMP_EQUAL(
        "big: must be a whole number from 0 to 9",
        error_of([&] { fields.integer("big", small); }).c_str());
    STRCMP_EQUAL(
        "missing: is missing",
        error_of([&] { fields.integer("missing", small); }).c_str());
    STRCMP_EQUAL(
        "e: must have 1 to 5 bytes",
        error_of([&] { fields.text("e", 5); }).c_str());
}

TEST(field_reader, value_of_another_type_is_an_error)
{
    for (char const* name : {"f", "t", "z", "o"})
        CHECK_FALSE(error_of([&] { fields.integer(name, small); }).empty());
    for (char const* name : {"n", "z", "o"})
        CHECK_FALSE(error_of([&] { fields.text(name, 9); }).empty());
    CHECK_FALSE(error_of([&] { fields.object("t"); }).empty());
    CHECK_FALSE(
        error_of(
            [&]
            { fields.duration("t", absl::Seconds(1), absl::ZeroDuration()); })
            .empty());
    nlohmann::json const list = nlohmann::json::array();
    CHECK_FALSE(error_of([&] { field_reader{list}; }).empty());
}
