#include "base/duty_thread.hpp"
#include "object_api/platform_gateway.hpp"
#include "platform/platform_server.hpp"
#include "result_recorder.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>

using namespace samphire;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

struct control_client_handler
{
    bounded_ring<std::uint16_t> statuses_{8};

    void on_response(request_token, http_response const& response)
    {
        statuses_.push(response.status_);
    }

    void on_failure(request_token, http_client_error)
    {
        statuses_.push(0);
    }
};

struct fault_case
{
    char const* fault_json_;
    platform_status put_status_;
    /// Whether the write took effect.
    bool value_stored_;
};

} // namespace

TEST_GROUP(platform_contract)
{
    standin::platform_server server{
        {.listen_ = endpoint(loopback, 0),
         .max_writes_per_s_ = 20,
         .max_watch_time_ = absl::Milliseconds(200)}};
    endpoint address{loopback, server.port()};
    result_recorder results;
    platform_gateway<result_recorder> gateway{address, 16, results};
    control_client_handler control_answers;
    http_client<control_client_handler> control_client{4, control_answers};
    std::unique_ptr<duty_thread> threads[4];
    std::uint64_t last_operation_id{};

    void setup() override
    {
        threads[0] = std::make_unique<duty_thread>(
            "callers", [&] { server.run_server(); });
        threads[1] =
            std::make_unique<duty_thread>("store", [&] { server.run_store(); });
        threads[2] =
            std::make_unique<duty_thread>("platform", [&] { gateway.run(); });
        threads[3] = std::make_unique<duty_thread>(
            "control", [&] { control_client.run(); });
    }

    void teardown() override
    {
        control_client.stop();
        gateway.stop();
        server.stop();
        for (auto& thread : threads)
            thread.reset();
    }

    void start_call(
        platform_method method,
        char const* name,
        std::uint64_t version = 0,
        std::string value = "")
    {
        CHECK(gateway.call(
            operation_id(++last_operation_id),
            {method,
             object_name(name),
             object_version(version),
             payload(std::move(value))}));
    }

    platform_result call(
        platform_method method,
        char const* name,
        std::uint64_t version = 0,
        std::string value = "")
    {
        start_call(method, name, version, std::move(value));
        auto const result = results.next();
        CHECK(result.has_value());
        return *result;
    }

    std::uint16_t send_control_command(std::string body)
    {
        CHECK(control_client.send(
            request_token(++last_operation_id),
            {.method_ = "POST",
             .destination_ = address,
             .path_ = "/control",
             .body_ = payload(std::move(body))}));
        return control_answers.statuses_.pop(absl::Seconds(5)).value_or(0);
    }
};

// Guards against an update that overwrites another operator's version.
TEST(platform_contract, put_with_old_version_returns_current_object)
{
    auto const first = call(platform_method::put_if, "policy", 0, "one");
    CHECK(first.status_ == platform_status::ok);
    LONGS_EQUAL(1, first.version_.value());
    auto const second = call(platform_method::put_if, "policy", 0, "two");
    CHECK(second.status_ == platform_status::conflict);
    LONGS_EQUAL(1, second.version_.value());
    STRCMP_EQUAL("one", second.value_.bytes().c_str());
}

// Guards against an absent object that is reported as an empty one.
TEST(platform_contract, get_of_absent_object_is_absent)
{
    CHECK(
        call(platform_method::get, "none").status_ == platform_status::absent);
}

// Guards against values that are truncated to a buffer's size.
TEST(
    platform_contract, value_of_one_megabyte_is_stored_and_a_larger_one_refused)
{
    std::string const value(1u << 20, 'v');
    CHECK(
        call(platform_method::put_if, "large", 0, value).status_ ==
        platform_status::ok);
    CHECK(call(platform_method::get, "large").value_.bytes() == value);
    CHECK(
        call(platform_method::put_if, "large", 1, value + "v").status_ ==
        platform_status::refused);
}

// Guards against a watch that reports neither a change nor its absence.
TEST(platform_contract, watch_ends_with_the_change_or_unchanged)
{
    call(platform_method::put_if, "policy", 0, "one");
    CHECK(
        call(platform_method::watch, "policy", 1).status_ ==
        platform_status::unchanged);
    start_call(platform_method::watch, "policy", 1);
    start_call(platform_method::put_if, "policy", 1, "two");
    auto const first_result = results.next();
    auto const second_result = results.next();
    CHECK(first_result && second_result);
    auto const& changed =
        first_result->value_.size() > 0 ? *first_result : *second_result;
    CHECK(changed.status_ == platform_status::ok);
    LONGS_EQUAL(2, changed.version_.value());
    STRCMP_EQUAL("two", changed.value_.bytes().c_str());
}

// Guards against a stand-in that accepts more writes than the real platform.
TEST(platform_contract, writes_over_the_limit_are_refused)
{
    unsigned refused = 0;
    for (unsigned n = 0; n < 30; ++n)
    {
        platform_result const result =
            call(platform_method::put_if, "policy", n, "x");
        refused += result.status_ == platform_status::refused;
    }
    CHECK(refused > 0);
}

// Guards against a fault that the gateway reports with the wrong status, such
// as a lost answer reported as a write without effect.
TEST(platform_contract, fault_during_put_gives_its_status_and_effect)
{
    fault_case const cases[] = {
        {R"({})", platform_status::ok, true},
        {R"({"delay_ms":50})", platform_status::ok, true},
        {R"({"outage":"refuse"})", platform_status::refused, false},
        {R"({"outage":"silent"})", platform_status::no_answer, false},
        {R"({"lost_percent":100})", platform_status::no_answer, true},
        {R"({"lost_count":1})", platform_status::no_answer, true}};
    unsigned number = 0;
    for (fault_case const& fault : cases)
    {
        std::string const name = "object-" + std::to_string(++number);
        LONGS_EQUAL(200, send_control_command(fault.fault_json_));
        auto const put = call(platform_method::put_if, name.c_str(), 0, "v");
        LONGS_EQUAL_TEXT(
            static_cast<int>(fault.put_status_),
            static_cast<int>(put.status_),
            fault.fault_json_);
        LONGS_EQUAL(200, send_control_command("{}"));
        auto const read = call(platform_method::get, name.c_str());
        CHECK_TEXT(
            (read.status_ == platform_status::ok) == fault.value_stored_,
            fault.fault_json_);
    }
}

// Guards against a mistyped fault that silently injects nothing.
TEST(platform_contract, unknown_fault_value_is_refused)
{
    LONGS_EQUAL(400, send_control_command(R"({"outage":"partial"})"));
    LONGS_EQUAL(400, send_control_command(R"({"lost_percent":101})"));
    LONGS_EQUAL(400, send_control_command("none"));
}
