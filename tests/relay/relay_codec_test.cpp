#include "base/random_source.hpp"
#include "relay/relay_codec.hpp"

#include <CppUTest/TestHarness.h>

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
