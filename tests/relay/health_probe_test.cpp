#include "platform/platform_codecs.hpp"
#include "relay/health_probe.hpp"
#include "relay/loopback_client.hpp"
#include "relay/loopback_sockets.hpp"
#include "relay/socket_factory.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace samphire;

namespace
{

class recording_health_handler
{
public:
    void on_health_check_ended(health_report const& report)
    {
        outcomes_.push_back(report);
    }

    std::vector<health_report> outcomes_;
};

} // namespace

TEST_GROUP(health_probe)
{
    endpoint const address{free_loopback_address()};
    std::optional<file_descriptor> listener{socket_factory::listen(address)};
    io_loop loop;
    recording_health_handler handler;
    health_probe<health_codec, recording_health_handler> probe{
        address, loop, handler};
    absl::Time now{absl::UnixEpoch() + absl::Hours(1)};

    void run_loop()
    {
        for (int i = 0; i < 6; ++i)
            loop.run_once(absl::Milliseconds(3));
    }

    std::unique_ptr<loopback_client> start_check()
    {
        probe.start("/health", now);
        run_loop();
        file_descriptor socket = socket_factory::accept(listener->get());
        CHECK(socket.valid());
        return std::make_unique<loopback_client>(std::move(socket));
    }

    /// Answers a check with `bytes` and ends the connection.
    void answer_check(std::string const& bytes)
    {
        auto const upstream = start_check();
        upstream->send(bytes);
        upstream->end_sending();
        run_loop();
    }

    bool is_healthy() const
    {
        return handler.outcomes_ ==
               std::vector<health_report>{
                   {health_status::healthy, upstream_id("i")}};
    }

    bool has_failed() const
    {
        return handler.outcomes_ ==
                   std::vector<health_report>{
                       {.status_ = health_status::unanswered}} &&
               !probe.is_in_progress();
    }
};

TEST(health_probe, check_asks_for_the_path_on_a_connection_of_its_own)
{
    auto const upstream = start_check();
    std::string const request = upstream->receive(absl::Milliseconds(30));
    CHECK(request.starts_with("GET /health HTTP/1.1\r\n"));
    CHECK(request.ends_with("Connection: close\r\n\r\n"));
    CHECK(probe.is_in_progress());
}

TEST(health_probe, healthy_upstream_is_reported_with_its_id)
{
    answer_check("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n"
                 "Content-Length: 2\r\n\r\nok");
    CHECK(is_healthy());
    CHECK_FALSE(probe.is_in_progress());
}

TEST(health_probe, answer_without_a_length_is_complete_at_its_end)
{
    answer_check("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n\r\nok");
    CHECK(is_healthy());
}

TEST(health_probe, answer_without_a_length_that_is_reset_reports_nothing)
{
    auto const upstream = start_check();
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n\r\nok");
    run_loop();
    CHECK(handler.outcomes_.empty());
    upstream->reset();
    run_loop();
    CHECK(has_failed());
}

TEST(health_probe, other_answers_report_nothing)
{
    for (std::string const& bytes :
         {std::string("HTTP/1.1 404 X\r\nSamphirelb-Instance-Id: i\r\n"
                      "Content-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
          std::string("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: \r\n"
                      "Content-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n"
                      "Content-Length: 9\r\n\r\nshort"),
          std::string("HTTP/1.1 200 OK\r\nSamphirelb-Instance Id: i\r\n"
                      "Content-Length: 0\r\n\r\n"),
          std::string("HTTP/1.1 103 X\r\nSamphirelb-Instance-Id: i\r\n\r\n"),
          std::string("no answer"),
          std::string()})
    {
        handler.outcomes_.clear();
        answer_check(bytes);
        CHECK_TEXT(has_failed(), bytes.c_str());
    }
}

// Guards against a leaving upstream that is taken for one without health
// checks.
TEST(health_probe, upstream_that_refuses_the_check_is_unavailable)
{
    for (char const* status : {"503 X", "429 X"})
    {
        handler.outcomes_.clear();
        answer_check(
            "HTTP/1.1 " + std::string(status) +
            "\r\nSamphirelb-Instance-Id: i\r\nContent-Length: 0\r\n\r\n");
        CHECK(
            handler.outcomes_ == std::vector<health_report>{
                                     {.status_ = health_status::unavailable}});
        CHECK_FALSE(probe.is_in_progress());
    }
}

// Guards against an answer without end that takes the memory of the process.
TEST(health_probe, long_answer_reports_nothing)
{
    auto const upstream = start_check();
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n\r\n");
    for (int i = 0; i < 10 && handler.outcomes_.empty(); ++i)
    {
        upstream->send(std::string(16u << 10, 'x'));
        run_loop();
    }
    CHECK(has_failed());
}

TEST(health_probe, upstream_that_does_not_listen_reports_nothing)
{
    listener.reset();
    probe.start("/health", now);
    run_loop();
    CHECK(has_failed());
}

TEST(health_probe, silent_upstream_reports_nothing_after_a_second)
{
    auto const upstream = start_check();
    probe.tick(now + absl::Milliseconds(900));
    CHECK(probe.is_in_progress());
    probe.tick(now + absl::Milliseconds(1000));
    CHECK(has_failed());
}

TEST(health_probe, check_can_be_repeated)
{
    answer_check("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    handler.outcomes_.clear();
    answer_check("HTTP/1.1 200 OK\r\nSamphirelb-Instance-Id: i\r\n"
                 "Content-Length: 0\r\n\r\n");
    CHECK(is_healthy());
}
