#include "base/duty_thread.hpp"
#include "ctl/drain_command.hpp"
#include "ctl/status_command.hpp"
#include "http/http_server.hpp"
#include "operations/blocking_platform_client.hpp"
#include "operations/daemon_report_parser.hpp"
#include "operations/daemon_survey.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

using namespace samphire;

namespace
{

constexpr std::uint32_t loopback = 0x7f000001;

/// Serves GET /status, POST /drain and one platform object on loopback.
class fake_daemon
{
public:
    fake_daemon() : server_({.listen_address_ = endpoint(loopback, 0)}, *this)
    {
    }

    ~fake_daemon()
    {
        server_.stop();
    }

    endpoint address() const
    {
        return endpoint(loopback, server_.port());
    }

    void on_request(request_token token, http_request const& request)
    {
        if (request.path_ == "/status")
            server_.answer(
                token,
                {.body_ =
                     payload(R"({"self":{"daemon":"d-1","domain":"tas-a"},)"
                             R"("revision":7})")});
        else if (request.path_ == "/drain")
            server_.answer(
                token,
                {.status_ = request.method_ == "POST" ? std::uint16_t{200}
                                                      : std::uint16_t{400}});
        else
            server_.answer(
                token,
                {.status_ = 409,
                 .headers_ = {{"Object-Version", "4"}},
                 .body_ = payload("stored")});
    }

    void on_client_disconnected(request_token)
    {
    }

private:
    http_server<fake_daemon> server_;
    duty_thread thread_{
        "fake-daemon",
        [this]
        {
            server_.run();
        }};
};

} // namespace

TEST_GROUP(daemon_requests)
{
    fake_daemon daemon;
    blocking_http_client calls;
    // Port 1 of loopback refuses connections.
    endpoint const unreachable_address{loopback, 1};
};

// Guards against a daemon that is silently left out of the count.
TEST(daemon_requests, status_counts_daemons_by_domain_and_lists_unreachable)
{
    daemon_survey survey(
        calls,
        {daemon.address(), unreachable_address, daemon.address()},
        absl::Seconds(5));
    command_result const result =
        report_rollout(summarize_reports(survey.collect_reports()));
    CHECK(result.code_ == exit_code::refused);
    STRCMP_EQUAL(
        "domain=tas-a revision=7 daemons=2\nunreachable=127.0.0.1:1\n",
        result.output_.c_str());
}

// Guards against a deadlock or lost reports when many daemons are queried.
TEST(daemon_requests, more_daemons_than_capacity_are_all_queried)
{
    daemon_survey survey(
        calls, std::vector<endpoint>(200, daemon.address()), absl::Seconds(10));
    rollout const found = summarize_reports(survey.collect_reports());
    LONGS_EQUAL(0, found.unreached_addresses_.size());
    LONGS_EQUAL(200, found.domains_[0].daemon_counts_.at(revision(7)));
}

// Guards against a report of "draining" for a daemon that got no request.
TEST(daemon_requests, drain_reports_whether_the_daemon_answered)
{
    absl::Duration const timeout = absl::Seconds(5);
    CHECK(
        drain_daemon(daemon.address(), calls, timeout).code_ ==
        exit_code::done);
    CHECK(
        drain_daemon(unreachable_address, calls, timeout).code_ ==
        exit_code::unknown);
}

// Guards against a result that is lost between the thread of the platform
// client and the calling thread.
TEST(daemon_requests, platform_call_returns_result_of_http_response)
{
    blocking_platform_client platform(daemon.address());
    platform_request const request{
        .method_ = platform_method::put_if, .name_ = object_name("policy")};
    CHECK(
        platform.call(request) ==
        (platform_result{
            platform_status::conflict, object_version(4), payload("stored")}));
    blocking_platform_client unreachable(unreachable_address);
    CHECK(unreachable.call(request).status_ == platform_status::refused);
}

// Guards against the status page of another program that counts as a daemon.
TEST(daemon_requests, malformed_status_page_counts_as_unreachable)
{
    for (char const* const body :
         {"",
          "[]",
          "{}",
          R"({"self":{},"revision":1})",
          R"({"self":{"daemon":"d","domain":"a"},"revision":-1})"})
        CHECK(!parse_daemon_report(unreachable_address, body).reached_);
}
