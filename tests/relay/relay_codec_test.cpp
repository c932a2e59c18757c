#include "base/random_source.hpp"
#include "relay/relay_codec.hpp"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <string>

using namespace samphire;

TEST_GROUP(relay_codec)
{
    relay_codec const codec{peer_key("secret")};

    static std::string_view content(std::string const& frame)
    {
        return std::string_view(frame).substr(relay_codec::length_prefix_size);
    }

    void check_round_trip(relay_message const& message) const
    {
        std::string const frame = codec.encode(message);
        LONGS_EQUAL(
            frame.size() - relay_codec::length_prefix_size,
            relay_codec::frame_size(frame).value());
        auto const decoded = codec.decode(content(frame));
        CHECK(decoded.has_value());
        CHECK(*decoded == message);
    }

    static daemon_hello hello()
    {
        return {
            .daemon_ = endpoint(0x0a000001, 7000),
            .incarnation_ = 99,
            .policy_version_ = 4,
            .upstream_ = {.id_ = upstream_id("i"), .slots_ = 3}};
    }
};

TEST(relay_codec, every_message_decodes_to_the_encoded_message)
{
    check_round_trip(hello());
    check_round_trip(daemon_beacon{
        .policy_version_ = 3, .load_ = {.running_executions_ = 2}});
    check_round_trip(daemon_beacon{
        .load_ = {
            .capacity_per_ks_ = 9,
            .demand_per_ks_ = {5, 0, 7},
            .rate_limit_ = {true, 11}}});
    check_round_trip(execute_order{
        .key_ = {1, 2},
        .attempt_ = attempt_id("a"),
        .service_ = service_name("s"),
        .kind_ = request_kind::upload,
        .priority_ = -1,
        .is_call_ = true,
        .urgency_ = 2,
        .weight_ = 1.25,
        .demand_counted_ = true,
        .known_rate_limit_ = {true, 9500},
        .remaining_time_ = absl::Microseconds(1500),
        .method_ = "POST",
        .target_ = "/x?y",
        .headers_ = "A: b\r\n",
        .body_ = payload(std::string(100'000, '\0')),
        .has_body_ = true,
        .fingerprint_ = 8});
    check_round_trip(execute_result{
        .key_ = {1, 2},
        .verdict_ = execution_verdict::not_run,
        .reason_ = verdict_reason::overloaded,
        .retry_after_ = absl::Milliseconds(3),
        .leaving_upstream_start_ms_ = 5,
        .status_ = 200,
        .body_ = payload("x")});
    check_round_trip(cancel_order{{1, 2}});
    check_round_trip(execution_query{{1, 2}});
    check_round_trip(policy_notice{7, "{}"});
    check_round_trip(policy_request{5});
    check_round_trip(upstream_notice{{.id_ = upstream_id("i")}});
    check_round_trip(crash_notice{1, 2});
    check_round_trip(store_access_notice{false});
    check_round_trip(store_access_notice{true});
}

TEST(relay_codec, hello_with_another_key_is_rejected)
{
    relay_codec const other{peer_key("other")};
    CHECK_FALSE(codec.decode(content(other.encode(hello()))).has_value());
}

TEST(relay_codec, changed_hello_is_rejected)
{
    std::string frame = codec.encode(hello());
    frame[relay_codec::length_prefix_size + 10] ^= 1;
    CHECK_FALSE(codec.decode(content(frame)).has_value());
}

TEST(relay_codec, frame_of_another_version_is_rejected)
{
    std::string frame = codec.encode(daemon_beacon{});
    ++frame[relay_codec::length_prefix_size];
    CHECK_FALSE(codec.decode(content(frame)).has_value());
}

// Guards against a few malformed bytes that take all memory: the announced size
// of a text or list is reserved at once.
TEST(relay_codec, forged_size_takes_no_memory)
{
    std::string const body = "0123456789";
    std::string const frame =
        codec.encode(policy_notice{.version_ = 1, .document_ = body});
    std::size_t const size_at = frame.find(body) - sizeof(std::uint64_t);
    for (std::uint64_t const size : {1ull << 30, 1ull << 40, ~0ull})
    {
        std::string forged = frame;
        for (std::size_t i = 0; i < sizeof(size); ++i)
            forged[size_at + i] = static_cast<char>(size >> (8 * i));
        CHECK_FALSE(codec.decode(content(forged)).has_value());
    }
}

// Guards against enumerators and flags that no code handles: a request whose
// verdict is none of them would never be answered.
TEST(relay_codec, value_outside_its_type_is_rejected)
{
    execute_result const base{.status_ = 200};
    std::string const frame = codec.encode(base);
    std::size_t const verdict_at = relay_codec::length_prefix_size + 3 + 16;
    for (std::size_t const offset : {0, 1, 2})
    {
        std::string changed = frame;
        CHECK(static_cast<unsigned char>(changed[verdict_at + offset]) < 4);
        changed[verdict_at + offset] = '\x7f';
        CHECK_FALSE(codec.decode(content(changed)).has_value());
    }
}

// Guards against an upgrade that changes the bytes of a message unnoticed.
// Daemons of two builds speak to each other while the fleet is upgraded.
TEST(relay_codec, bytes_of_a_message_stay_the_same)
{
    std::string const frame = codec.encode(daemon_beacon{
        .is_answer_ = true,
        .policy_version_ = 2,
        .load_ = {
            .slots_ = 3,
            .demand_per_ks_ = {4},
            .rate_limit_ = {true, 5},
            .accepts_work_ = true}});
    std::string hex;
    for (char const byte : content(frame))
        hex += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    STRCMP_EQUAL(
        "03010101"
        "0200000000000000"
        "0000000000000000"
        "03000000"
        "000000000000000000000000"
        "0100000000000000"
        "04000000"
        "0105000000"
        "01"
        "00",
        hex.c_str());
}

TEST(relay_codec, randomly_changed_frame_does_not_crash_the_decoder)
{
    random_source random(5);
    std::string const frame = codec.encode(execute_order{
        .attempt_ = attempt_id("abc"), .headers_ = std::string(40, 'h')});
    for (int i = 0; i < 20'000; ++i)
    {
        std::string changed = frame;
        for (std::uint64_t n = random() % 4 + 1; n > 0; --n)
            changed[random() % changed.size()] = static_cast<char>(random());
        changed.resize(random() % changed.size() + 1);
        codec.decode(changed);
    }
}
