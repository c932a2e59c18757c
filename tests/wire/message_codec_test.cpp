#include "wire/message_codec.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace samphire;

TEST_GROUP(message_codec)
{
    peer_identity const self{
        daemon_id("a"), incarnation(3), endpoint(0x7f000001, 7000)};
    message_codec const codec{peer_key("secret"), self};
    execute_request const request{
        .exchange_ = exchange_id(9),
        .service_ = service_name("slots"),
        .route_ = route_name("list"),
        .body_ = payload("body"),
        .context_ = {.request_ = {1, 2}, .time_to_deadline_ = absl::Seconds(3)},
        .ticket_ = execution_ticket{.guard_ = daemon_id("g")},
        .ticket_not_sent_before_ = true};

    bool is_refused(std::string const& bytes, wire_error expected) const
    {
        decode_result const result = codec.decode(bytes);
        return !result && result.error() == expected;
    }
};

// Guards against a field that is not read, or read in another order than
// written.
TEST(message_codec, execute_request_round_trips_unchanged)
{
    decode_result const result = codec.decode(codec.encode(request));
    CHECK(bool(result));
    CHECK(result.value().from_ == self);
    CHECK(result.value().message_ == peer_message(request));
}

// Guards against accepting messages from a sender with another key.
TEST(message_codec, other_secret_is_not_authentic)
{
    message_codec const other(peer_key("other"), self);
    CHECK(is_refused(other.encode(request), wire_error::not_authentic));
}

// Guards against accepting a message with one changed bit in any byte.
TEST(message_codec, any_flipped_bit_is_refused)
{
    std::string const encoded = codec.encode(request);
    for (std::size_t i = 0; i < encoded.size(); ++i)
    {
        std::string corrupted = encoded;
        corrupted[i] = static_cast<char>(corrupted[i] ^ 1);
        CHECK_FALSE(bool(codec.decode(corrupted)));
    }
}

// Guards against reading past the end of a truncated message.
TEST(message_codec, any_truncation_is_refused)
{
    std::string const encoded = codec.encode(request);
    for (std::size_t size = 0; size < encoded.size(); ++size)
        CHECK_FALSE(bool(codec.decode(encoded.substr(0, size))));
}

// Guards against decoding a message that has another format version.
TEST(message_codec, other_format_version_is_refused)
{
    std::string bytes = codec.encode(request);
    bytes[0] = 2;
    CHECK(is_refused(bytes, wire_error::wrong_version));
}
