#include "fuzz/decoder_cases.hpp"
#include "platform/platform_codecs.hpp"
#include "relay/relay_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cmath>
#include <stdexcept>

namespace samphire::bench
{

namespace
{

namespace http = boost::beast::http;

constexpr std::uint32_t max_slots = 1'000'000;

void require(bool condition, char const* rule)
{
    if (!condition)
        throw std::logic_error(rule);
}

void check_policy(forwarding_policy const& policy)
{
    for (route_rule const& route : policy.routes_)
    {
        std::uint64_t weight = 0;
        for (service_share const& share : route.shares_)
            weight += share.weight_;
        require(weight > 0, "a route has a share with a weight");
        require(route.max_upstreams_ > 0, "a route allows an attempt");
        require(
            route.timeout_ >= absl::ZeroDuration(), "a timeout is positive");
        require(route.path_prefix_.back() == '/', "a prefix ends with a slash");
    }
    require(
        policy.client_limits_.max_body_bytes_ <= (std::size_t{1} << 40),
        "the limit of a body is bounded");
}

bool decode_store_answer(store_action action, std::string const& body)
{
    store_outcome const outcome = object_store_codec::decode(
        {.action_ = action}, {.status_ = 200, .body_ = payload(body)});
    for (stored_upstream const& entry : outcome.upstreams_)
    {
        upstream_record const& record = entry.record_;
        require(record.slots_ <= max_slots, "slots are bounded");
        require(
            record.id_.empty() || record.slots_ > 0, "an upstream has slots");
        require(record.start_time_ms_ >= 0, "a start time is positive");
        require(!record.daemon_.empty(), "a daemon has an address");
        require(record.zone_.size() <= 256, "names are bounded");
    }
    if (outcome.policy_)
        check_policy(*outcome.policy_);
    return outcome.policy_ || !outcome.upstreams_.empty();
}

template <bool IsRequest>
bool decode_http(std::string const& bytes)
{
    http::parser<IsRequest, http::string_body> parser;
    // As upstream_pool does, reads the header alone and checks the announced
    // length before the parser reserves it.
    constexpr std::uint64_t max_body_bytes = 1u << 20;
    parser.eager(false);
    parser.body_limit(max_body_bytes);
    boost::system::error_code error;
    std::size_t used = 0;
    while (used < bytes.size() && !parser.is_done() && !error)
    {
        std::size_t const parsed = parser.put(
            boost::asio::buffer(bytes.data() + used, bytes.size() - used),
            error);
        used += parsed;
        if (parsed == 0 ||
            (parser.is_header_done() &&
             parser.content_length().value_or(0) > max_body_bytes))
            break;
        if (parser.is_header_done())
            parser.eager(true);
    }
    if (error || !parser.is_done())
        return false;
    auto message = parser.release();
    if constexpr (IsRequest)
    {
        auto const request = request_codec::decode_request(message);
        require(
            !request || request->headers_.find("\r\n\r\n") == std::string::npos,
            "header lines hold no empty line");
        return request.has_value();
    }
    else
    {
        upstream_answer const answer = request_codec::decode_answer(message);
        require(
            !answer.slowdown_factor_ || std::isfinite(*answer.slowdown_factor_),
            "a slowdown is finite");
        return answer.has_signature_;
    }
}

std::vector<std::string> relay_frames(relay_codec const& codec)
{
    std::vector<std::string> frames;
    relay_message const messages[]{
        daemon_beacon{.load_ = {.slots_ = 3, .demand_per_ks_ = {1, 2}}},
        execute_order{
            .key_ = {1, 2},
            .attempt_ = attempt_id("a"),
            .service_ = service_name("s"),
            .method_ = "GET",
            .target_ = "/x",
            .body_ = payload("body")},
        execute_result{
            .key_ = {1, 2},
            .service_pressures_ = {{service_name("s"), 900}},
            .status_ = 200,
            .body_ = payload("body")},
        cancel_order{{1, 2}},
        execution_query{{1, 2}},
        policy_notice{7, "{}"},
        policy_request{5},
        upstream_notice{{.id_ = upstream_id("i")}},
        crash_notice{1, 2},
        store_access_notice{false}};
    for (relay_message const& message : messages)
        frames.push_back(
            codec.encode(message).substr(relay_codec::length_prefix_size));
    return frames;
}

} // namespace

std::vector<decoder_case> relay_decoder_cases()
{
    relay_codec const codec{peer_key("fuzz")};
    return {
        {"heartbeat",
         {},
         [](std::string const& input)
         {
             std::string defect;
             auto const heartbeat =
                 heartbeat_codec::decode(upstream_id("i"), input, defect);
             require(
                 !heartbeat ||
                     (heartbeat->slots_ > 0 && heartbeat->slots_ <= max_slots),
                 "slots are bounded");
             require(
                 heartbeat || !defect.empty(), "a refusal names the defect");
             return heartbeat.has_value();
         }},
        {"policy",
         {},
         [](std::string const& input)
         {
             std::string defect;
             auto const policy = forwarding_policy_codec::decode(input, defect);
             if (policy)
                 check_policy(*policy);
             return policy != nullptr;
         }},
        {"upstream_list",
         {},
         [](std::string const& input)
         {
             return decode_store_answer(store_action::list_upstreams, input);
         }},
        {"store_policy",
         {},
         [](std::string const& input)
         {
             return decode_store_answer(store_action::read_policy, input);
         }},
        {"request", {}, decode_http<true>},
        {"answer", {}, decode_http<false>},
        {"relay_message",
         relay_frames(codec),
         [codec](std::string const& input)
         {
             auto const message = codec.decode(input);
             if (!message)
                 return false;
             // What is accepted can be passed on unchanged.
             auto const again =
                 codec.decode(std::string_view(codec.encode(*message))
                                  .substr(relay_codec::length_prefix_size));
             require(again.has_value(), "a message encodes to itself");
             return true;
         }}};
}

} // namespace samphire::bench
