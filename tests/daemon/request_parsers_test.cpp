#include "daemon/announcement_parser.hpp"
#include "daemon/call_parser.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <string>

using namespace samphire;

namespace
{

struct invalid_announcement
{
    char const* body_;
    char const* field_;
};

constexpr std::array invalid_announcements{
    invalid_announcement{"", "body"},
    invalid_announcement{"{", "body"},
    invalid_announcement{"[1]", "body"},
    invalid_announcement{"\xff", "body"},
    invalid_announcement{R"({"address":"1.2.3.4:5","slots":1})", "service"},
    invalid_announcement{
        R"({"service":"","address":"1.2.3.4:5","slots":1})", "service"},
    invalid_announcement{
        R"({"service":7,"address":"1.2.3.4:5","slots":1})", "service"},
    invalid_announcement{
        R"({"service":"a/b","address":"1.2.3.4:5","slots":1})", "service"},
    invalid_announcement{R"({"service":"a","slots":1})", "address"},
    invalid_announcement{
        R"({"service":"a","address":"host:5","slots":1})", "address"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:0","slots":1})", "address"},
    invalid_announcement{R"({"service":"a","address":"1.2.3.4:5"})", "slots"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5","slots":0})", "slots"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5","slots":1.5})", "slots"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5",
            "slots":18446744073709551615})",
        "slots"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5","slots":1,"connections":-1})",
        "connections"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5","slots":1,"load":"x"})",
        "load"},
    invalid_announcement{
        R"({"service":"a","address":"1.2.3.4:5","slots":1,"cold":1})", "cold"},
};

struct invalid_call
{
    char const* method_;
    char const* path_;
    http_header header_;
    char const* field_;
};

} // namespace

TEST_GROUP(request_parsers)
{
    std::string const long_name = std::string(129, 'a');
    std::string const long_service = "/call/" + long_name + "/r";
    std::string const long_route = "/call/s/" + long_name;
    std::string const long_key = std::string(257, 'k');

    static call_parse_result parse(
        std::string method, std::string path, header_list headers = {})
    {
        return parse_call(
            call_id(1),
            {.method_ = std::move(method),
             .path_ = std::move(path),
             .headers_ = std::move(headers)});
    }
};

// Guards against sending requests to an upstream whose announcement is invalid.
TEST(request_parsers, invalid_announcement_is_refused_with_field)
{
    for (invalid_announcement const& row : invalid_announcements)
    {
        announcement_parse_result const parsed = parse_announcement(row.body_);
        CHECK_TEXT(!parsed, row.body_);
        STRCMP_EQUAL(row.field_, parsed.error().field_.c_str());
        CHECK(!parsed.error().rule_.empty());
    }
}

// Guards against refusing an announcement that omits the optional fields.
TEST(request_parsers, announcement_without_optional_fields_is_accepted)
{
    auto const parsed = parse_announcement(
        R"({"service":"a","address":"1.2.3.4:5","slots":100000})");
    LONGS_EQUAL(100000, parsed.value().slots_);
    CHECK(!parsed.value().is_warming_up_);
}

// Guards against executing an invalid request with a guessed meaning.
TEST(request_parsers, invalid_call_is_refused_with_field)
{
    http_header const unrelated_header{"Accept", "*/*"};
    std::array const rows{
        invalid_call{"GET", "/call/s/r", unrelated_header, "method"},
        invalid_call{"PUT", "/call/s/r", unrelated_header, "method"},
        invalid_call{"POST", "/call/", unrelated_header, "service"},
        invalid_call{"POST", "/call//r", unrelated_header, "service"},
        invalid_call{"POST", "/call/s t/r", unrelated_header, "service"},
        invalid_call{"POST", long_service.c_str(), unrelated_header, "service"},
        invalid_call{"POST", "/call/s", unrelated_header, "route"},
        invalid_call{"POST", "/call/s/", unrelated_header, "route"},
        invalid_call{"POST", "/call/s/r//t", unrelated_header, "route"},
        invalid_call{"POST", "/call/s/r/", unrelated_header, "route"},
        invalid_call{"POST", "/call/s/\xc3\xa9", unrelated_header, "route"},
        invalid_call{"POST", long_route.c_str(), unrelated_header, "route"},
        invalid_call{
            "POST", "/call/s/r", {"Idempotency-Key", ""}, "Idempotency-Key"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Idempotency-Key", long_key},
            "Idempotency-Key"},
        invalid_call{
            "POST", "/call/s/r", {"Samphire-Ticket", "x"}, "Samphire-Ticket"},
        invalid_call{
            "POST", "/call/s/r", {"samphire-ticket", ""}, "Samphire-Ticket"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Samphire-Timeout-Ms", "0"},
            "Samphire-Timeout-Ms"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Samphire-Timeout-Ms", "3600001"},
            "Samphire-Timeout-Ms"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Samphire-Timeout-Ms", "1e3"},
            "Samphire-Timeout-Ms"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Samphire-Execution", "0"},
            "Samphire-Execution"},
        invalid_call{
            "POST",
            "/call/s/r",
            {"Samphire-Execution", "-1"},
            "Samphire-Execution"},
    };
    for (invalid_call const& row : rows)
    {
        call_parse_result const parsed =
            parse(row.method_, row.path_, {row.header_});
        CHECK_TEXT(!parsed, row.path_);
        STRCMP_EQUAL(row.field_, parsed.error().field_.c_str());
        CHECK(!parsed.error().rule_.empty());
    }
}

// Guards against refusing a request because of its traceparent, which is only
// used for tracing.
TEST(request_parsers, malformed_traceparent_is_ignored)
{
    call_parse_result const parsed =
        parse("POST", "/call/s/r/t", {{"traceparent", "00-zz"}});
    CHECK(!parsed.value().trace_);
    STRCMP_EQUAL("r/t", parsed.value().route_.value().c_str());
}

// Guards against a body that exhausts the stack or memory of its reader.
TEST(request_parsers, deeply_nested_announcement_is_refused)
{
    std::string const deep =
        std::string(200'000, '[') + std::string(200'000, ']');
    auto const result = parse_announcement(
        R"({"service":"a","address":"1.2.3.4:5","slots":)" + deep + "}");
    CHECK(!result);
    STRCMP_EQUAL("body", result.error().field_.c_str());
}
