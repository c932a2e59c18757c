#include "answer_recorder.hpp"
#include "base/duty_thread.hpp"
#include "upstream/upstream_server.hpp"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

using namespace samphire;

TEST_GROUP(upstream_server)
{
    // Nothing listens at the daemon's address, so announcements fail.
    standin::upstream_server server{
        {.service_ = "photos",
         .listen_ = endpoint(0x7f000001, 0),
         .daemon_ = endpoint(0x7f000001, 1),
         .slots_ = 1,
         .service_time_ = absl::Milliseconds(20),
         .long_routes_ = {"report"},
         .long_factor_ = 10,
         .shed_limit_ = 3,
         .crash_marker_ = "CRASH",
         .crash_downtime_ = absl::Milliseconds(300)}};
    answer_recorder answers;
    http_client<answer_recorder> client{16, answers};
    std::unique_ptr<duty_thread> threads[4];
    std::uint64_t requests{};

    void setup() override
    {
        threads[0] = std::make_unique<duty_thread>(
            "callers", [&] { server.run_server(); });
        threads[1] =
            std::make_unique<duty_thread>("work", [&] { server.run_work(); });
        threads[2] = std::make_unique<duty_thread>(
            "client", [&] { server.run_client(); });
        threads[3] =
            std::make_unique<duty_thread>("test", [&] { client.run(); });
    }

    void teardown() override
    {
        client.stop();
        server.stop();
        for (auto& thread : threads)
            thread.reset();
    }

    void send(
        char const* path,
        std::string body,
        absl::Duration timeout = absl::Seconds(5),
        std::string deadline_ms = "5000")
    {
        CHECK(client.send(
            request_token(++requests),
            {.method_ = "POST",
             .destination_ = server.address(),
             .path_ = path,
             .headers_ = {{"Samphire-Timeout-Ms", std::move(deadline_ms)}},
             .body_ = payload(std::move(body)),
             .timeout_ = timeout}));
    }

    http_response next_answer()
    {
        auto const answer = answers.next_answer();
        CHECK(answer.has_value());
        return *answer;
    }

    /// Returns the value of a counter of GET /metrics.
    int counter(std::string const& name)
    {
        send("/metrics", "");
        std::string const page = next_answer().body_.bytes();
        auto const position = page.find(name + " ");
        CHECK(position != std::string::npos);
        return std::stoi(page.substr(position + name.size() + 1));
    }
};

// Guards against answers that do not belong to the request, and against runs
// that are not counted.
TEST(upstream_server, request_is_echoed_and_its_run_counted)
{
    send("/upload", "one");
    STRCMP_EQUAL("one", next_answer().body_.bytes().c_str());
    send("/runs", "");
    STRCMP_EQUAL("1 photos upload one\n", next_answer().body_.bytes().c_str());
}

// Guards against a stand-in that accepts any number of requests.
TEST(upstream_server, requests_over_the_limit_are_shed)
{
    for (int n = 0; n < 4; ++n)
        send("/report", "x" + std::to_string(n));
    LONGS_EQUAL(503, next_answer().status_);
    LONGS_EQUAL(1, counter("upstream_shed_total"));
}

// Guards against a request that goes on after its caller has disconnected.
TEST(upstream_server, abandoned_request_ends_and_counts_as_wasted)
{
    send("/report", "long", absl::Milliseconds(50));
    LONGS_EQUAL(0, next_answer().status_);
    send("/upload", "short");
    STRCMP_EQUAL("short", next_answer().body_.bytes().c_str());
    LONGS_EQUAL(1, counter("upstream_abandoned_total"));
    CHECK(counter("upstream_wasted_work_us") > 0);
}

// Guards against a request that goes on after the deadline in its header.
TEST(upstream_server, request_past_its_deadline_is_answered_504)
{
    send("/report", "long", absl::Seconds(5), "50");
    LONGS_EQUAL(504, next_answer().status_);
    LONGS_EQUAL(1, counter("upstream_expired_total"));
}

// Guards against a crash that leaves other connections open, and against an
// upstream that does not restart.
TEST(
    upstream_server,
    request_with_crash_marker_closes_all_connections_until_restart)
{
    send("/report", "innocent");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    send("/upload", "CRASH");
    LONGS_EQUAL(0, next_answer().status_);
    LONGS_EQUAL(0, next_answer().status_);
    send("/upload", "while down");
    LONGS_EQUAL(0, next_answer().status_);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    send("/upload", "after");
    STRCMP_EQUAL("after", next_answer().body_.bytes().c_str());
    LONGS_EQUAL(1, counter("upstream_crashes_total"));
}

// Guards against a slowdown factor that has no effect, and against a zero
// factor that is accepted.
TEST(upstream_server, slowdown_lengthens_service_time)
{
    send("/control", R"({"slowdown":10})");
    LONGS_EQUAL(200, next_answer().status_);
    auto const start_time = std::chrono::steady_clock::now();
    send("/upload", "slow");
    LONGS_EQUAL(200, next_answer().status_);
    CHECK(
        std::chrono::steady_clock::now() - start_time >=
        std::chrono::milliseconds(200));
    send("/control", R"({"slowdown":0})");
    LONGS_EQUAL(400, next_answer().status_);
}
