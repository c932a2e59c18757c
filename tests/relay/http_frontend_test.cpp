#include "relay/http_frontend.hpp"
#include "relay/loopback_client.hpp"
#include "relay/loopback_sockets.hpp"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace samphire;

namespace
{

using request_message =
    boost::beast::http::request<boost::beast::http::string_body>;

/// Records the requests and disconnects that a frontend reports.
class recording_handler
{
public:
    void on_frontend_request(
        client_token token, request_message& message, absl::Time)
    {
        tokens_.push_back(token);
        bodies_.push_back(message.body());
    }

    void on_frontend_disconnect(client_token token)
    {
        disconnected_tokens_.push_back(token);
    }

    void on_frontend_request_abandoned(request_message&)
    {
        ++abandoned_requests_;
    }

    unsigned abandoned_requests_{};
    std::vector<client_token> tokens_;
    std::vector<std::string> bodies_;
    std::vector<client_token> disconnected_tokens_;
};

} // namespace

TEST_GROUP(http_frontend)
{
    endpoint const address{free_loopback_address()};
    monotonic_clock clock;
    io_loop loop;
    recording_handler handler;
    std::uint64_t last_token{};
    http_frontend<recording_handler> frontend{
        address,
        {.client_ = {.max_header_bytes_ = 2048, .max_body_bytes_ = 1000}},
        last_token,
        clock,
        loop,
        handler};

    void run_loop(int rounds = 6)
    {
        for (int i = 0; i < rounds; ++i)
            loop.run_once(absl::Milliseconds(5));
    }

    std::string send_and_receive(std::string const& bytes)
    {
        loopback_client client(address);
        client.send(bytes);
        run_loop();
        return client.receive(absl::Milliseconds(30));
    }
};

TEST(http_frontend, complete_request_is_passed_to_the_handler_and_answered)
{
    loopback_client client(address);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    run_loop();
    LONGS_EQUAL(1, handler.tokens_.size());
    STRCMP_EQUAL("abc", handler.bodies_[0].c_str());
    frontend.answer(
        handler.tokens_[0], {.status_ = 200, .body_ = payload("done")});
    std::string const answer = client.receive(absl::Milliseconds(30));
    CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
    CHECK(answer.find("\r\n\r\ndone") != std::string::npos);
    CHECK_FALSE(client.closed());
}

TEST(http_frontend, chunked_body_is_passed_to_the_handler_when_complete)
{
    loopback_client client(address);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n2\r\nab\r\n");
    run_loop();
    CHECK(handler.tokens_.empty());
    client.send("1\r\nc\r\n0\r\n\r\n");
    run_loop();
    STRCMP_EQUAL("abc", handler.bodies_.at(0).c_str());
}

TEST(http_frontend, client_that_disconnects_before_its_answer_is_reported)
{
    {
        loopback_client client(address);
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_loop();
        LONGS_EQUAL(1, handler.tokens_.size());
    }
    run_loop();
    CHECK(handler.disconnected_tokens_ == handler.tokens_);
    frontend.answer(handler.tokens_[0], {.status_ = 200});
}

// Guards against work for a client that gave up before its request was read.
TEST(http_frontend, request_of_a_client_that_has_left_is_not_passed_on)
{
    {
        loopback_client client(address);
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    run_loop();
    CHECK(handler.tokens_.empty());
    LONGS_EQUAL(1, handler.abandoned_requests_);
    LONGS_EQUAL(0, frontend.connection_count());
}

// Guards against the same on a connection that is kept open between requests.
TEST(http_frontend, later_request_of_a_client_that_has_left_is_not_passed_on)
{
    {
        loopback_client client(address);
        client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        run_loop();
        frontend.answer(handler.tokens_.at(0), {.status_ = 200});
        client.receive(absl::Milliseconds(10));
        client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    run_loop();
    LONGS_EQUAL(1, handler.tokens_.size());
    LONGS_EQUAL(0, frontend.connection_count());
}

TEST(http_frontend, pipelined_request_waits_for_the_first_answer)
{
    loopback_client client(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    run_loop();
    LONGS_EQUAL(1, handler.tokens_.size());
    frontend.answer(handler.tokens_[0], {.status_ = 200});
    run_loop();
    LONGS_EQUAL(2, handler.tokens_.size());
}

// Guards against request smuggling: a server that accepts one of the first
// three cases can be made to parse part of its bytes as a second request.
TEST(http_frontend, malformed_request_is_rejected_and_connection_closed)
{
    struct malformed_case
    {
        std::string bytes_;
        char const* status_;
    };
    std::string const head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    malformed_case const cases[]{
        {head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
         "400"},
        {head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
                "0\r\n\r\n",
         "400"},
        {head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde", "400"},
        {head + "Content-Length : 4\r\n\r\nabcd", "400"},
        {head + "Transfer-Encoding: xchunked\r\n\r\n", "400"},
        {head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
        {std::string("GET /a") + '\0' + "b HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
        {head + "Content-Length: -1\r\n\r\n", "400"},
        {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
        {head + "X: " + std::string(5000, 'x') + "\r\n\r\n", "431"},
        {head + "Content-Length: 100000\r\n\r\n", "413"},
        {"nonsense\r\n\r\n", "400"},
    };
    for (malformed_case const& malformed : cases)
    {
        handler.tokens_.clear();
        std::string const answer = send_and_receive(malformed.bytes_);
        CHECK_TEXT(
            answer.find(std::string("HTTP/1.1 ") + malformed.status_) == 0,
            (malformed.bytes_.substr(0, 90) + " -> " + answer).c_str());
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(handler.tokens_.empty());
    }
}

TEST(http_frontend, body_over_the_total_limit_is_rejected)
{
    endpoint const other_address = free_loopback_address();
    http_frontend<recording_handler> limited_frontend{
        other_address,
        {.client_ = {}, .max_total_body_bytes_ = 10},
        last_token,
        clock,
        loop,
        handler};
    loopback_client client(other_address);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n");
    run_loop();
    std::string const answer = client.receive(absl::Milliseconds(30));
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("Retry-After") != std::string::npos);
}
