#include "policy/policy_codec.hpp"
#include "policy/policy_limits.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <array>
#include <fstream>
#include <iterator>

using namespace samphire;

namespace
{

struct invalid_document
{
    char const* json_;
    char const* field_;
    char const* rule_text_;
};

constexpr std::array invalid_documents{
    invalid_document{"", "document", "must be JSON"},
    invalid_document{"{\"format\":1,", "document", "must be JSON"},
    invalid_document{"\xff", "document", "must be JSON"},
    invalid_document{"[]", "document", "must be a JSON object"},
    invalid_document{R"({"revision":1})", "format", "must be 1"},
    invalid_document{R"({"format":2,"revision":1})", "format", "must be 1"},
    invalid_document{R"({"format":1})", "revision", "whole number from 1"},
    invalid_document{R"({"format":1,"revision":0})", "revision", "from 1"},
    invalid_document{R"({"format":1,"revision":-3})", "revision", "from 1"},
    invalid_document{R"({"format":1,"revision":1.5})", "revision", "whole"},
    invalid_document{R"({"format":1,"revision":"7"})", "revision", "whole"},
    invalid_document{
        R"({"format":1,"revision":18446744073709551615})", "revision", "to 9"},
    invalid_document{
        R"({"format":1,"revision":1,"retrys":{}})", "retrys", "not a known"},
    invalid_document{
        R"({"format":1,"revision":1,"revision":2})", "revision", "only once"},
    invalid_document{
        R"({"format":1,"revision":1,"retries":3})", "retries", "JSON object"},
    invalid_document{
        R"({"format":1,"revision":1,"retries":{"extra_attempts":33}})",
        "retries.extra_attempts",
        "from 0 to 32"},
    invalid_document{
        R"({"format":1,"revision":1,"retries":{"service_percent":101}})",
        "retries.service_percent",
        "from 0 to 100"},
    invalid_document{
        R"({"format":1,"revision":1,"services":{}})", "services", "a list"},
    invalid_document{
        R"({"format":1,"revision":1,"services":[{}]})",
        "services[0].service",
        "must be 1 to 128"},
    invalid_document{
        R"({"format":1,"revision":1,"services":[{"service":"a b"}]})",
        "services[0].service",
        "must be 1 to 128"},
    invalid_document{
        R"({"format":1,"revision":1,"services":
            [{"service":"a"},{"service":"a"}]})",
        "services[1].service",
        "listed only once"},
    invalid_document{
        R"({"format":1,"revision":1,"leaving":["d-1","d-1"]})",
        "leaving[1]",
        "listed only once"},
    invalid_document{
        R"({"format":1,"revision":1,"leaving":["d/1"]})",
        "leaving[0]",
        "must be 1 to 128"},
};

constexpr std::array invalid_routes{
    invalid_document{R"({})", "services[0].routes[0].route", "joined by /"},
    invalid_document{
        R"({"route":"/r"})", "services[0].routes[0].route", "joined by /"},
    invalid_document{
        R"({"route":"r","importance":"top"})",
        "services[0].routes[0].importance",
        "background, normal, high or critical"},
    invalid_document{
        R"({"route":"r","unrepeatable":1})",
        "services[0].routes[0].unrepeatable",
        "true or false"},
    invalid_document{
        R"({"route":"r","work":"huge"})",
        "services[0].routes[0].work",
        "short or long"},
    invalid_document{
        R"({"route":"r","timeout_ms":0})",
        "services[0].routes[0].timeout_ms",
        "from 1 to 3600000"},
    invalid_document{
        R"({"route":"r","timeout_ms":3600001})",
        "services[0].routes[0].timeout_ms",
        "from 1 to 3600000"},
    invalid_document{
        R"({"route":"r","work":"long","work":"short"})",
        "services[0].routes[0].work",
        "only once"},
    invalid_document{
        R"({"route":"r"},{"route":"r"})",
        "services[0].routes[1].route",
        "listed only once"},
    invalid_document{
        R"({"route":"r","calls":["x"]})",
        "services[0].routes[0].calls[0]",
        "service/route"},
    invalid_document{
        R"({"route":"r","calls":["x/y","x/y"]})",
        "services[0].routes[0].calls[1]",
        "listed only once"},
    invalid_document{
        R"({"route":"r","unrepeatable":false,"calls":["x/y"]})",
        "services[a].routes[r].calls",
        "must name a route"},
    invalid_document{
        R"({"route":"r","unrepeatable":false,"calls":["a/s"]},{"route":"s"})",
        "services[a].routes[r].calls",
        "must not be unrepeatable"},
};

} // namespace

TEST_GROUP(policy_codec){void check_refused(
    std::string const& json, invalid_document const& expected){
    policy_parse_result const parsed = parse_policy(json);
CHECK_TEXT(!parsed, json.c_str());
STRCMP_EQUAL(expected.field_, parsed.error().front().field_.c_str());
STRCMP_CONTAINS(expected.rule_text_, parsed.error().front().rule_.c_str());
}
}
;

// Guards against an invalid document that comes into force.
TEST(policy_codec, invalid_document_is_refused_with_field_and_rule)
{
    for (invalid_document const& invalid : invalid_documents)
        check_refused(invalid.json_, invalid);
}

// Guards against an invalid route that comes into force, especially a
// repeatable route that would run unrepeatable work twice.
TEST(policy_codec, invalid_route_is_refused_with_field_and_rule)
{
    for (invalid_document const& invalid : invalid_routes)
        check_refused(
            fmt::format(
                R"({{"format":1,"revision":1,"services":
                    [{{"service":"a","routes":[{}]}}]}})",
                invalid.json_),
            invalid);
}

// Guards against reporting only the first error, so that an operator needs one
// attempt to correct each.
TEST(policy_codec, several_errors_are_reported_at_once)
{
    policy_parse_result const parsed =
        parse_policy(R"({"format":9,"revision":0,"leaving":["?"],"more":1})");
    CHECK(!parsed);
    LONGS_EQUAL(4, parsed.error().size());
}

// Guards against unbounded memory use.
TEST(policy_codec, document_over_limit_is_refused)
{
    policy_parse_result const parsed =
        parse_policy(std::string(policy_limits::max_document_bytes + 1, ' '));
    STRCMP_CONTAINS("at most", parsed.error().front().rule_.c_str());
}

// Guards against a stack overflow in functions that recurse over the JSON
// value.
TEST(policy_codec, deeply_nested_document_is_refused)
{
    std::string const deep = R"({"format":1,"revision":1,"leaving":)" +
                             std::string(400'000, '[') +
                             std::string(400'000, ']') + "}";
    policy_parse_result const parsed = parse_policy(deep);
    STRCMP_CONTAINS("nested", parsed.error().front().rule_.c_str());
}

// Guards against a default that lets work be repeated although no document says
// so.
TEST(policy_codec, omitted_fields_have_safe_defaults)
{
    policy_document const document = parse_policy(
                                         R"({"format":1,"revision":3,"services":
                [{"service":"a","routes":[{"route":"r"}]}]})")
                                         .value();
    CHECK(document.retries_ == retry_limits{});
    CHECK(document.services_[0].routes_[0].unrepeatable_);
}

// Guards against a document that changes when it is formatted and parsed again.
TEST(policy_codec, formatted_document_reads_back_equal_and_ordered)
{
    policy_document const document =
        parse_policy(
            R"({"format":1,"revision":9007199254740991,
                "retries":{"extra_attempts":0,"service_percent":100},
                "leaving":["d-2","d-1"],"services":
                [{"service":"b"},{"service":"a","routes":
                  [{"route":"x/y","importance":"critical","work":"long",
                    "timeout_ms":3600000,"calls":["c/d","a/x/y"]},
                   {"route":"r","unrepeatable":false}]}]})")
            .value();
    STRCMP_EQUAL("d-1", document.leaving_[0].value().c_str());
    STRCMP_EQUAL("a", document.services_[0].service_.value().c_str());
    std::string const text = format_policy(document);
    CHECK(parse_policy(text).value() == document);
    STRCMP_EQUAL(
        text.c_str(), format_policy(parse_policy(text).value()).c_str());
}

// Guards against a refused example on the reference page, which operators copy.
// The test reads the page relative to the root of the repository, where
// scripts/run-tests.sh runs the test.
TEST(policy_codec, example_of_reference_page_is_valid)
{
    std::ifstream file("docs/policy-document.md");
    std::string const page(
        (std::istreambuf_iterator<char>(file)),
        std::istreambuf_iterator<char>());
    auto const start = page.find("    {\n");
    auto const end = page.find("\n    }\n");
    CHECK(start != std::string::npos && end != std::string::npos);
    policy_parse_result const parsed =
        parse_policy(page.substr(start, end + 6 - start));
    CHECK(parsed.has_value());
    LONGS_EQUAL(4, parsed.value().services_.size());
}
