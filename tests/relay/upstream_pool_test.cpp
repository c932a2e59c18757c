#include "http/invalid_header_lines.hpp"
#include "platform/platform_codecs.hpp"
#include "relay/loopback_client.hpp"
#include "relay/loopback_sockets.hpp"
#include "relay/upstream_pool.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace samphire;

namespace
{

/// Records the outcomes that a pool reports.
class recording_upstream_handler
{
public:
    void on_upstream_answer(execution_key, upstream_answer const& answer)
    {
        answers_.push_back(answer);
    }

    void
    on_upstream_failure(execution_key, std::uint64_t, upstream_failure failure)
    {
        failures_.push_back(failure);
    }

    void on_upstream_probe_result(bool reached)
    {
        probe_results_.push_back(reached);
    }

    std::vector<upstream_answer> answers_;
    std::vector<upstream_failure> failures_;
    std::vector<bool> probe_results_;
};

} // namespace

TEST_GROUP(upstream_pool)
{
    endpoint const address{free_loopback_address()};
    file_descriptor listener{socket_factory::listen(address)};
    monotonic_clock clock;
    io_loop loop;
    recording_upstream_handler handler;
    static constexpr std::size_t max_total_answer_bytes = 1u << 20;
    upstream_pool<request_codec, recording_upstream_handler> pool{
        address, max_total_answer_bytes, clock, loop, handler};
    std::uint64_t last_exchange{};

    void start_request(std::string const& attempt, std::string body = {})
    {
        pool.start(
            {.key_ = {1, ++last_exchange},
             .attempt_ = attempt_id(attempt),
             .caller_service_ = service_name("c"),
             .kind_ = request_kind::non_idempotent,
             .method_ = "POST",
             .target_ = "/x",
             .headers_ = "Samphirelb-Attempt-Id: " + attempt + "\r\n",
             .body_ = payload(std::move(body)),
             .has_body_ = true},
            {.id_ = upstream_id("i")},
            absl::Milliseconds(700));
        run_loop();
    }

    void run_loop(int rounds = 6)
    {
        for (int i = 0; i < rounds; ++i)
            loop.run_once(absl::Milliseconds(3));
    }

    std::unique_ptr<loopback_client> accept()
    {
        file_descriptor socket = socket_factory::accept(listener.get());
        return socket.valid()
                   ? std::make_unique<loopback_client>(std::move(socket))
                   : nullptr;
    }

    static std::string answer(
        std::string const& attempt,
        std::string const& body,
        std::string const& extra = "")
    {
        return "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: " + attempt +
               "\r\nSamphirelb-Response-Signature: s\r\n" + extra +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }
};

TEST(upstream_pool, request_has_the_headers_that_the_upstream_expects)
{
    start_request("a1", "body");
    std::string const request = accept()->receive(absl::Milliseconds(30));
    for (char const* line :
         {"POST /x HTTP/1.1\r\n",
          "Samphirelb-Attempt-Id: a1\r\n",
          "Samphirelb-Deadline-Ms: 700\r\n",
          "Samphirelb-Target-Instance: i\r\n",
          "Samphirelb-Caller-Service: c\r\n",
          "Content-Length: 4\r\n",
          "\r\n\r\nbody"})
        CHECK_TEXT(request.find(line) != std::string::npos, line);
}

TEST(upstream_pool, connection_is_reused_after_a_complete_answer)
{
    start_request("a1");
    auto const upstream = accept();
    upstream->send(answer("a1", "one"));
    run_loop();
    start_request("a2");
    CHECK(accept() == nullptr);
    upstream->send(answer("a2", "two"));
    run_loop();
    LONGS_EQUAL(2, handler.answers_.size());
    STRCMP_EQUAL("two", handler.answers_[1].body_.bytes().c_str());
}

// Guards against an HTTP client that resends the request on its own, as libcurl
// does, and so runs the work twice.
TEST(upstream_pool, request_lost_on_a_reused_connection_is_not_sent_again)
{
    start_request("a1");
    auto const upstream = accept();
    upstream->send(answer("a1", "one"));
    run_loop();
    start_request("a2");
    upstream->receive(absl::Milliseconds(20));
    upstream->reset();
    run_loop();
    LONGS_EQUAL(1, handler.failures_.size());
    CHECK(handler.failures_[0] == upstream_failure::connection_lost);
    CHECK(accept() == nullptr);
}

TEST(upstream_pool, late_answer_to_another_request_is_ignored)
{
    start_request("a1");
    auto const upstream = accept();
    upstream->send(answer("a1", "one"));
    run_loop();
    start_request("a2");
    upstream->send(answer("a1", "again") + answer("a2", "two"));
    run_loop();
    LONGS_EQUAL(2, handler.answers_.size());
    STRCMP_EQUAL("two", handler.answers_[1].body_.bytes().c_str());
}

TEST(upstream_pool, extra_bytes_after_an_answer_close_the_connection)
{
    start_request("a1");
    auto const upstream = accept();
    upstream->send(answer("a1", "one") + answer("a1", "one"));
    run_loop();
    start_request("a2");
    CHECK(accept() != nullptr);
}

TEST(upstream_pool, truncated_answer_is_a_lost_connection)
{
    start_request("a1");
    auto upstream = accept();
    std::string const whole = answer("a1", "0123456789");
    upstream->send(whole.substr(0, whole.size() - 3));
    upstream.reset();
    run_loop();
    CHECK(handler.answers_.empty());
    CHECK(handler.failures_.at(0) == upstream_failure::connection_lost);
}

TEST(upstream_pool, answer_without_length_is_complete_at_end_of_stream)
{
    start_request("a1");
    auto upstream = accept();
    upstream->receive(absl::Milliseconds(20));
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a1\r\n\r\nabc");
    run_loop();
    CHECK(handler.answers_.empty());
    upstream.reset();
    run_loop();
    STRCMP_EQUAL("abc", handler.answers_.at(0).body_.bytes().c_str());
}

TEST(upstream_pool, answer_without_length_that_is_reset_is_a_failure)
{
    start_request("a1");
    auto const upstream = accept();
    upstream->receive(absl::Milliseconds(20));
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a1\r\n\r\nabc");
    run_loop();
    upstream->reset();
    run_loop();
    CHECK(handler.answers_.empty());
    LONGS_EQUAL(1, handler.failures_.size());
}

// Guards against a part of an answer that passes as the whole one, because the
// failed write of the request has taken the error of the reset.
TEST(upstream_pool, answer_without_length_reset_during_the_upload_is_a_failure)
{
    std::string const upload(20'000'000, 'x');
    for (char const* start_line :
         {"HTTP/1.1 200 OK\r\n",
          "HTTP/1.0 200 OK\r\n",
          "HTTP/1.1 404 Not Found\r\n",
          "HTTP/1.1 500 Internal Server Error\r\n"})
    {
        for (bool const is_answer_read_before_the_reset : {true, false})
        {
            handler.failures_.clear();
            start_request("a", upload);
            auto const upstream = accept();
            upstream->send(
                std::string(start_line) +
                "Samphirelb-Attempt-Id: a\r\n"
                "Samphirelb-Response-Signature: s\r\n\r\npart");
            if (is_answer_read_before_the_reset)
                run_loop();
            upstream->reset();
            run_loop();
            CHECK_TEXT(handler.answers_.empty(), start_line);
            LONGS_EQUAL_TEXT(1, handler.failures_.size(), start_line);
            CHECK(handler.failures_[0] == upstream_failure::connection_lost);
        }
    }
}

// Guards against the same when the connection ends in order but the upstream
// process is gone, so that the rest of the upload is reset.
TEST(upstream_pool, answer_without_length_whose_upload_fails_is_a_failure)
{
    start_request("a", std::string(20'000'000, 'x'));
    auto upstream = accept();
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
                   "Samphirelb-Response-Signature: s\r\n\r\npart");
    run_loop();
    upstream->end_sending();
    run_loop();
    CHECK(handler.answers_.empty());
    upstream.reset();
    run_loop();
    CHECK(handler.answers_.empty());
    LONGS_EQUAL(1, handler.failures_.size());
    CHECK(handler.failures_[0] == upstream_failure::connection_lost);
}

// Guards against a whole answer that is lost because the upstream has ended it
// before it reads the rest of the upload.
TEST(upstream_pool, answer_ended_before_the_upload_is_read_is_complete)
{
    start_request("a", std::string(20'000'000, 'x'));
    auto const upstream = accept();
    upstream->send("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
                   "Samphirelb-Response-Signature: s\r\n\r\nwhole");
    upstream->end_sending();
    for (int i = 0; i < 400 && handler.answers_.empty(); ++i)
    {
        upstream->receive(absl::Milliseconds(1));
        run_loop(1);
    }
    CHECK(handler.failures_.empty());
    LONGS_EQUAL(1, handler.answers_.size());
    STRCMP_EQUAL("whole", handler.answers_[0].body_.bytes().c_str());
}

TEST(upstream_pool, bytes_that_are_not_http_are_garbled)
{
    for (char const* bytes :
         {"\x01\x02\x03 no answer in the protocol\r\n\r\n",
          "HTTP/1.1 abc\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"})
    {
        handler.failures_.clear();
        start_request("a1");
        auto const upstream = accept();
        upstream->send(bytes);
        run_loop();
        LONGS_EQUAL_TEXT(1, handler.failures_.size(), bytes);
        CHECK_TEXT(handler.failures_[0] == upstream_failure::garbled, bytes);
    }
}

TEST(upstream_pool, refused_connection_is_reported_as_refused)
{
    listener.reset();
    start_request("a1");
    CHECK(handler.failures_.at(0) == upstream_failure::refused);
    pool.probe_upstream();
    run_loop();
    CHECK_FALSE(handler.probe_results_.at(0));
}

TEST(upstream_pool, answer_before_the_whole_body_is_sent_closes_the_connection)
{
    start_request("a1", std::string(20'000'000, 'x'));
    auto const upstream = accept();
    upstream->send(answer("a1", "early"));
    run_loop();
    LONGS_EQUAL(1, handler.answers_.size());
    start_request("a2");
    CHECK(accept() != nullptr);
}

TEST(upstream_pool, load_header_sets_the_slowdown_factor)
{
    start_request("a1");
    accept()->send(answer("a1", "", "Samphirelb-Server-Load: 3,0,8,250\r\n"));
    run_loop();
    DOUBLES_EQUAL(2.5, handler.answers_.at(0).slowdown_factor_.value(), 0.001);
}

// Guards against a request that is sent after its client has left, once a
// connection that was pending is established.
TEST(upstream_pool, withdrawn_request_is_not_sent_after_the_connect)
{
    pool.start(
        {.key_ = {1, ++last_exchange},
         .attempt_ = attempt_id("a1"),
         .kind_ = request_kind::non_idempotent,
         .method_ = "POST",
         .target_ = "/x"},
        {.id_ = upstream_id("i")},
        absl::Milliseconds(700));
    CHECK(pool.withdraw({1, last_exchange}));
    run_loop();
    auto const upstream = accept();
    CHECK(!upstream || upstream->receive(absl::Milliseconds(20)).empty());
    CHECK(handler.failures_.empty());
}

TEST(upstream_pool, request_on_an_established_connection_is_not_withdrawn)
{
    start_request("a1");
    CHECK_FALSE(pool.withdraw({1, last_exchange}));
}

// Guards against a limit that is not understood, so that an upstream in need
// gets too much.
TEST(upstream_pool, rate_limit_of_an_answer_is_decoded)
{
    struct limit_case
    {
        char const* header_;
        std::optional<std::uint32_t> per_ks_;
    };
    limit_case const cases[]{
        {"", std::nullopt},
        {"Server-Limit: 21.7\r\n", 21'700},
        {"server-limit:  40 \r\n", 40'000},
        {"Server-Limit: 0\r\n", 0},
        {"Server-Limit: 1e300\r\n", 1'000'000'000},
        {"Server-Limit: -3\r\n", std::nullopt},
        {"Server-Limit: nan\r\n", std::nullopt},
        {"Server-Limit: soon\r\n", std::nullopt},
    };
    start_request("a");
    auto const upstream = accept();
    for (limit_case const& each : cases)
    {
        handler.answers_.clear();
        upstream->send(answer("a", "x", each.header_));
        run_loop();
        LONGS_EQUAL(1, handler.answers_.size());
        CHECK_TEXT(
            handler.answers_[0].max_requests_per_ks_ == each.per_ks_,
            each.header_);
        start_request("a");
    }
}

TEST(upstream_pool, leaving_header_of_an_answer_is_decoded)
{
    start_request("a");
    auto const upstream = accept();
    upstream->send(answer("a", "x", "Server-Leaving: 1\r\n"));
    run_loop();
    CHECK(handler.answers_.at(0).is_leaving_);
    start_request("a");
    upstream->send(answer("a", "x"));
    run_loop();
    CHECK_FALSE(handler.answers_.at(1).is_leaving_);
}

// Guards against a 200 with an empty or short body for an answer that stops in
// its head or body.
TEST(upstream_pool, answer_that_stops_anywhere_is_a_lost_connection)
{
    std::string const complete = answer("a", "body");
    for (std::size_t length = 0; length < complete.size(); ++length)
    {
        handler.failures_.clear();
        start_request("a");
        {
            auto const upstream = accept();
            upstream->receive(absl::Milliseconds(1));
            upstream->send(complete.substr(0, length));
        }
        run_loop();
        CHECK(handler.answers_.empty());
        LONGS_EQUAL(1, handler.failures_.size());
        CHECK(handler.failures_[0] == upstream_failure::connection_lost);
    }
}

// Guards against "not run" for a request that runs, because the upstream has
// written an earlier refusal once more on the kept connection.
TEST(upstream_pool, repeated_refusal_does_not_answer_the_next_request)
{
    std::string const refusal =
        "HTTP/1.1 503 Service Unavailable\r\nSamphirelb-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n";
    std::string const repetitions[]{
        refusal + "Samphirelb-Attempt-Id: a1\r\n\r\n", refusal + "\r\n"};
    for (std::string const& repeated : repetitions)
    {
        handler.answers_.clear();
        start_request("a1");
        auto const upstream = accept();
        upstream->send(refusal + "Samphirelb-Attempt-Id: a1\r\n\r\n");
        run_loop();
        LONGS_EQUAL(1, handler.answers_.size());
        CHECK(handler.answers_[0].not_run_);
        start_request("a2");
        upstream->send(repeated);
        run_loop();
        LONGS_EQUAL(1, handler.answers_.size());
        upstream->send(answer("a2", "two"));
        run_loop();
        LONGS_EQUAL(2, handler.answers_.size());
        STRCMP_EQUAL("two", handler.answers_[1].body_.bytes().c_str());
        pool.tick(clock.now() + absl::Seconds(60));
    }
}

// Guards against the same when the repeated refusal arrives before the next
// request is sent.
TEST(upstream_pool, refusal_on_an_idle_connection_closes_it)
{
    std::string const refusal =
        "HTTP/1.1 503 Service Unavailable\r\nSamphirelb-Not-Executed: 1\r\n"
        "Samphirelb-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n";
    start_request("a1");
    auto const upstream = accept();
    upstream->send(refusal);
    run_loop();
    upstream->send(refusal);
    run_loop();
    start_request("a2");
    CHECK(accept() != nullptr);
    LONGS_EQUAL(1, handler.answers_.size());
}

// Guards against a daemon that runs out of memory because its upstream never
// ends an answer.
TEST(upstream_pool, answer_without_end_is_given_up)
{
    std::string const head = "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n";
    std::string const filler(60'000, 'x');
    struct endless_case
    {
        std::string start_;
        std::string piece_;
    };
    endless_case const cases[]{
        {head, "X-A: " + filler.substr(0, 1000) + "\r\n"},
        {head + "\r\n", filler},
        {head + "Transfer-Encoding: chunked\r\n\r\n",
         "ea60\r\n" + filler + "\r\n"},
        {head + "Content-Length: 100000000\r\n\r\n", filler},
        {"", filler},
    };
    for (endless_case const& each : cases)
    {
        handler.failures_.clear();
        start_request("a");
        auto const upstream = accept();
        upstream->send(each.start_);
        for (int i = 0; i < 100 && handler.failures_.empty(); ++i)
        {
            upstream->send(each.piece_);
            run_loop(1);
        }
        CHECK_TEXT(handler.failures_.size() == 1, each.start_.c_str());
        CHECK(handler.failures_[0] == upstream_failure::garbled);
        CHECK(handler.answers_.empty());
    }
}

// Guards against a total that is not reduced when an answer ends.
TEST(upstream_pool, bytes_of_ended_answers_do_not_count_towards_the_total)
{
    std::string const body(700'000, 'x');
    for (int i = 0; i < 4; ++i)
    {
        start_request("a");
        auto upstream = accept();
        CHECK(upstream != nullptr);
        upstream->send(answer("a", body, "Connection: close\r\n"));
        run_loop(30);
    }
    LONGS_EQUAL(4, handler.answers_.size());
    CHECK(handler.failures_.empty());
}

// Guards against an answer whose announced length is reserved at once, which
// throws or takes all memory.
TEST(upstream_pool, answer_that_announces_a_huge_body_is_garbled)
{
    for (char const* length : {"44294967296", "9223372036854775807"})
    {
        start_request("a");
        auto const upstream = accept();
        upstream->send(
            "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
            "Samphirelb-Response-Signature: s\r\nContent-Length: " +
            std::string(length) + "\r\n\r\nbody");
        run_loop();
        CHECK(handler.answers_.empty());
        LONGS_EQUAL(1, handler.failures_.size());
        CHECK(handler.failures_[0] == upstream_failure::garbled);
        handler.failures_.clear();
    }
}

// Guards against a status that no client understands, or that is taken for that
// of an interim response, so that the client waits until its deadline.
TEST(upstream_pool, answer_with_an_invalid_status_is_garbled)
{
    for (char const* status : {"000", "001", "020", "099", "101", "600", "999"})
    {
        for (char const* attempt : {"a", "b"})
        {
            handler.failures_.clear();
            start_request("a");
            auto const upstream = accept();
            upstream->send(
                "HTTP/1.1 " + std::string(status) +
                " X\r\nSamphirelb-Attempt-Id: " + attempt +
                "\r\nSamphirelb-Response-Signature: s\r\n"
                "Content-Length: 4\r\n\r\nbody");
            run_loop();
            CHECK_TEXT(handler.answers_.empty(), status);
            LONGS_EQUAL_TEXT(1, handler.failures_.size(), status);
            CHECK_TEXT(
                handler.failures_[0] == upstream_failure::garbled, status);
        }
    }
}

TEST(upstream_pool, valid_status_is_returned)
{
    start_request("a");
    auto const upstream = accept();
    for (unsigned const status : {200u, 226u, 302u, 404u, 500u, 599u})
    {
        handler.answers_.clear();
        upstream->send(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n"
            "HTTP/1.1 " +
            std::to_string(status) +
            " \r\nSamphirelb-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n");
        run_loop();
        LONGS_EQUAL(1, handler.answers_.size());
        LONGS_EQUAL(status, handler.answers_[0].status_);
        start_request("a");
    }
}

// Guards against a line that is passed on to the client, or ignored together
// with the length that it states.
TEST(upstream_pool, answer_with_an_invalid_field_line_is_garbled)
{
    for (std::string const& line : invalid_header_lines())
    {
        for (char const* start_line :
             {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n"})
        {
            handler.failures_.clear();
            start_request("a");
            auto upstream = accept();
            upstream->receive(absl::Milliseconds(1));
            upstream->send(
                start_line + line +
                "\r\nSamphirelb-Attempt-Id: a\r\n"
                "Samphirelb-Response-Signature: s\r\n\r\nbody");
            upstream.reset();
            run_loop();
            CHECK_TEXT(handler.answers_.empty(), line.c_str());
            LONGS_EQUAL_TEXT(1, handler.failures_.size(), line.c_str());
            CHECK_TEXT(
                handler.failures_[0] == upstream_failure::garbled,
                line.c_str());
        }
    }
}

// Guards against the body of an answer in a coding that the client cannot know,
// since the header that names the coding concerns one connection only.
TEST(upstream_pool, answer_with_an_unknown_transfer_coding_is_garbled)
{
    for (char const* coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "", "chunked;x"})
    {
        handler.failures_.clear();
        start_request("a");
        auto upstream = accept();
        upstream->receive(absl::Milliseconds(1));
        upstream->send(
            "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
            "Samphirelb-Response-Signature: s\r\nTransfer-Encoding: " +
            std::string(coding) + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        upstream.reset();
        run_loop();
        CHECK_TEXT(handler.answers_.empty(), coding);
        LONGS_EQUAL_TEXT(1, handler.failures_.size(), coding);
        CHECK_TEXT(handler.failures_[0] == upstream_failure::garbled, coding);
    }
}

TEST(upstream_pool, answer_with_a_known_transfer_coding_is_complete)
{
    for (char const* head_end :
         {"Transfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "Transfer-Encoding: identity\r\n\r\nbody"})
    {
        handler.answers_.clear();
        start_request("a");
        auto upstream = accept();
        upstream->receive(absl::Milliseconds(1));
        upstream->send(
            "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
            "Connection: close\r\n" +
            std::string(head_end));
        upstream.reset();
        run_loop();
        LONGS_EQUAL_TEXT(1, handler.answers_.size(), head_end);
        STRCMP_EQUAL("body", handler.answers_[0].body_.bytes().c_str());
    }
}

// Guards against a thread that spins, and memory that is held, for an answer
// whose chunk sizes or trailers never end.
TEST(upstream_pool, answer_without_end_between_chunks_is_given_up)
{
    std::string const head = "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    std::string const filler(60'000, 'x');
    for (std::string const& start :
         {head + "4;x=", head + "4\r\nbody\r\n0;x=", head + "0\r\nX: "})
    {
        handler.failures_.clear();
        start_request("a");
        auto const upstream = accept();
        upstream->send(start);
        std::size_t sent = 0;
        constexpr std::size_t max_sent = 3u << 19;
        for (; sent < max_sent && handler.failures_.empty();
             sent += filler.size())
        {
            upstream->send(filler);
            run_loop(1);
        }
        CHECK_TEXT(handler.failures_.size() == 1, start.c_str());
        CHECK(handler.failures_[0] == upstream_failure::garbled);
        CHECK(sent < (1u << 19));
    }
}

// Guards against a head whose pieces each end at a new line, so that the parser
// takes them one by one and never sees more than its limit.
TEST(upstream_pool, answer_whose_fields_never_end_is_given_up)
{
    start_request("a");
    auto const upstream = accept();
    upstream->send("HTTP/1.1 200 OK\r\nX");
    std::string const field = "-Y: " + std::string(4000, 'x') + "\r\nX";
    std::size_t sent = 0;
    constexpr std::size_t max_sent = 1u << 18;
    for (; sent < max_sent && handler.failures_.empty(); sent += field.size())
    {
        run_loop(2);
        upstream->send(field);
    }
    run_loop();
    LONGS_EQUAL(1, handler.failures_.size());
    CHECK(handler.failures_[0] == upstream_failure::garbled);
}

// Guards against a request that holds its connection, and a thread that has no
// time for others, while the upstream sends all but the answer to it.
TEST(upstream_pool, messages_without_end_that_are_no_answer_are_given_up)
{
    for (char const* message :
         {"HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: b\r\n"
          "Content-Length: 1\r\n\r\nx"})
    {
        handler.failures_.clear();
        start_request("a");
        auto const upstream = accept();
        for (int i = 0; i < 1000 && handler.failures_.empty(); ++i)
        {
            upstream->send(message);
            run_loop(1);
        }
        LONGS_EQUAL_TEXT(1, handler.failures_.size(), message);
        CHECK(handler.failures_[0] == upstream_failure::garbled);
    }
}

// Guards against a small answer that is lost because others have used up the
// memory for all answers.
TEST(upstream_pool, largest_answer_is_given_up_when_the_total_is_exceeded)
{
    start_request("large");
    auto const large = accept();
    large->send("HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: large\r\n"
                "Content-Length: 600000\r\n\r\nx");
    run_loop();
    start_request("small");
    auto const small = accept();
    small->send(answer("small", std::string(500'000, 'y')));
    run_loop(30);
    LONGS_EQUAL(1, handler.failures_.size());
    CHECK(handler.failures_[0] == upstream_failure::garbled);
    LONGS_EQUAL(1, handler.answers_.size());
    LONGS_EQUAL(500'000, handler.answers_[0].body_.size());
}

// Guards against a body that is cut or joined with the next answer, because the
// head states its length in two ways or not as a number.
TEST(upstream_pool, answer_with_an_ambiguous_length_is_garbled)
{
    for (char const* lines :
         {"Content-Length: 4\r\nContent-Length: 2\r\n",
          "Content-Length: 2\r\nContent-Length: 4\r\n",
          "Content-Length: 2x\r\n",
          "Content-Length: 2, 4\r\n",
          "Content-Length: 2 4\r\n",
          "Content-Length: +2\r\n",
          "Content-Length: -2\r\n",
          "Content-Length: 0x2\r\n",
          "Content-Length: \r\n",
          "Content-Length: 99999999999999999999\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"})
    {
        handler.failures_.clear();
        start_request("a");
        auto upstream = accept();
        upstream->receive(absl::Milliseconds(1));
        upstream->send(
            "HTTP/1.1 200 OK\r\nSamphirelb-Attempt-Id: a\r\n"
            "Samphirelb-Response-Signature: s\r\n" +
            std::string(lines) + "\r\n4\r\nbody\r\n0\r\n\r\n");
        upstream.reset();
        run_loop();
        CHECK_TEXT(handler.answers_.empty(), lines);
        LONGS_EQUAL_TEXT(1, handler.failures_.size(), lines);
        CHECK_TEXT(handler.failures_[0] == upstream_failure::garbled, lines);
    }
}
