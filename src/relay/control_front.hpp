#pragma once

#include "base/endpoint.hpp"
#include "metrics/metric_registry.hpp"
#include "relay/http_front.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphire
{

/// Takes heartbeats of the upstream, and questions for readiness and metrics.
template <class Codec, class Handler>
class control_front
{
public:
    control_front(
        endpoint listen,
        std::uint64_t& last_token,
        monotonic_clock const& clock,
        io_loop& loop,
        metric_registry const& metrics,
        Handler& handler)
        : metrics_(metrics), handler_(handler),
          front_(listen, limits(), last_token, clock, loop, *this)
    {
    }

    void on_front_request(
        client_token token,
        boost::beast::http::request<boost::beast::http::string_body>& message,
        absl::Time)
    {
        namespace http = boost::beast::http;
        std::string_view const target(
            message.target().data(), message.target().size());
        auto const id = Codec::upstream_of(target);
        if (message.method() == http::verb::get && Codec::is_readiness(target))
            answer(token, handler_.is_ready() ? 200 : 503, "");
        else if (message.method() == http::verb::get && target == "/metrics")
            answer(token, 200, metrics_.text());
        else if (message.method() == http::verb::put && id)
            on_heartbeat(token, *id, message.body());
        else if (message.method() == http::verb::delete_ && id)
        {
            handler_.on_removal(*id);
            answer(token, 200, "{}");
        }
        else
            answer(token, 404, "");
    }

    void on_front_gone(client_token)
    {
    }

    void tick(absl::Time now)
    {
        front_.tick(now);
    }

private:
    static front_limits limits()
    {
        constexpr std::size_t body_bytes = 1u << 20;
        constexpr std::size_t connections = 64;
        return {
            .client_ = {.body_bytes_ = body_bytes},
            .connections_ = connections,
            .held_bytes_ = 4 * body_bytes};
    }

    void on_heartbeat(
        client_token token, upstream_id const& id, std::string const& body)
    {
        std::string defect;
        auto const heartbeat = Codec::decode(id, body, defect);
        if (heartbeat)
        {
            handler_.on_heartbeat(*heartbeat);
            answer(token, 200, "{}");
            return;
        }
        handler_.on_bad_heartbeat(id, defect);
        answer(token, 400, "");
    }

    void answer(client_token token, std::uint16_t status, std::string body)
    {
        front_.answer(
            token,
            {.status_ = status,
             .headers_ = body.empty() || body.front() != '{'
                             ? "Content-Type: text/plain\r\n"
                             : "Content-Type: application/json\r\n",
             .body_ = payload(std::move(body))});
    }

    metric_registry const& metrics_;
    Handler& handler_;
    http_front<control_front> front_;
};

} // namespace samphire
