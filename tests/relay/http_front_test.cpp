#include "relay/http_front.hpp"
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

/// Keeps the requests of a front.
class recording_handler
{
public:
    void
    on_front_request(client_token token, request_message& message, absl::Time)
    {
        tokens_.push_back(token);
        bodies_.push_back(message.body());
    }

    void on_front_gone(client_token token)
    {
        gone_.push_back(token);
    }

    std::vector<client_token> tokens_;
    std::vector<std::string> bodies_;
    std::vector<client_token> gone_;
};

} // namespace

TEST_GROUP(http_front)
{
    endpoint const address{free_loopback_address()};
    monotonic_clock clock;
    io_loop loop;
    recording_handler handler;
    std::uint64_t last_token{};
    http_front<recording_handler> front{
        address,
        {.client_ = {.header_bytes_ = 2048, .body_bytes_ = 1000}},
        last_token,
        clock,
        loop,
        handler};

    void turn(int rounds = 6)
    {
        for (int i = 0; i < rounds; ++i)
            loop.run_once(absl::Milliseconds(5));
    }

    std::string exchange(std::string const& bytes)
    {
        loopback_client client(address);
        client.send(bytes);
        turn();
        return client.receive(absl::Milliseconds(30));
    }
};

TEST(http_front, whole_request_is_handed_over_and_answered)
{
    loopback_client client(address);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    turn();
    LONGS_EQUAL(1, handler.tokens_.size());
    STRCMP_EQUAL("abc", handler.bodies_[0].c_str());
    front.answer(
        handler.tokens_[0], {.status_ = 200, .body_ = payload("done")});
    std::string const answer = client.receive(absl::Milliseconds(30));
    CHECK(answer.find("HTTP/1.1 200 OK\r\n") == 0);
    CHECK(answer.find("\r\n\r\ndone") != std::string::npos);
    CHECK_FALSE(client.closed());
}

TEST(http_front, chunked_body_is_handed_over_whole)
{
    loopback_client client(address);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n2\r\nab\r\n");
    turn();
    CHECK(handler.tokens_.empty());
    client.send("1\r\nc\r\n0\r\n\r\n");
    turn();
    STRCMP_EQUAL("abc", handler.bodies_.at(0).c_str());
}

TEST(http_front, client_that_leaves_is_reported_while_it_waits)
{
    {
        loopback_client client(address);
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        turn();
        LONGS_EQUAL(1, handler.tokens_.size());
    }
    turn();
    CHECK(handler.gone_ == handler.tokens_);
    front.answer(handler.tokens_[0], {.status_ = 200});
}

TEST(http_front, second_request_waits_for_the_first_answer)
{
    loopback_client client(address);
    client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    turn();
    LONGS_EQUAL(1, handler.tokens_.size());
    front.answer(handler.tokens_[0], {.status_ = 200});
    turn();
    LONGS_EQUAL(2, handler.tokens_.size());
}

// Each was tried by hand against the former front; the first three were
// answered 200, which lets a second request be smuggled in.
TEST(http_front, malformed_requests_are_refused_and_closed)
{
    struct bad_case
    {
        std::string bytes_;
        char const* status_;
    };
    std::string const head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    bad_case const cases[]{
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
    for (bad_case const& each : cases)
    {
        handler.tokens_.clear();
        std::string const answer = exchange(each.bytes_);
        CHECK_TEXT(
            answer.find(std::string("HTTP/1.1 ") + each.status_) == 0,
            (each.bytes_.substr(0, 90) + " -> " + answer).c_str());
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(handler.tokens_.empty());
    }
}

TEST(http_front, bodies_over_the_bound_of_all_are_refused)
{
    endpoint const other = free_loopback_address();
    http_front<recording_handler> small{
        other,
        {.client_ = {}, .held_bytes_ = 10},
        last_token,
        clock,
        loop,
        handler};
    loopback_client client(other);
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n");
    turn();
    std::string const answer = client.receive(absl::Milliseconds(30));
    CHECK(answer.find("HTTP/1.1 503") == 0);
    CHECK(answer.find("Retry-After") != std::string::npos);
}
