#pragma once

#include "base/endpoint.hpp"
#include "metrics/metric_registry.hpp"
#include "relay/http_frontend.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphire
{

/// Receives the heartbeats and removals of the local upstream over HTTP, and
/// serves readiness and metrics.
template <class Codec, class Handler>
class control_frontend
{
public:
    control_frontend(
        endpoint listen,
        std::uint64_t& last_token,
        monotonic_clock const& clock,
        io_loop& loop,
        metric_registry const& metrics,
        Handler& handler)
        : metrics_(metrics), handler_(handler),
          frontend_(listen, limits(), last_token, clock, loop, *this)
    {
    }

    void on_frontend_request(
        client_token token,
        boost::beast::http::request<boost::beast::http::string_body>& message,
        absl::Time)
    {
        namespace http = boost::beast::http;
        std::string_view const target(
            message.target().data(), message.target().size());
        auto const id = Codec::upstream_id_in_path(target);
        if (message.method() == http::verb::get &&
            Codec::is_readiness_path(target))
            answer(token, handler_.is_ready() ? 200 : 503, "");
        else if (message.method() == http::verb::get && target == "/metrics")
            answer(token, 200, metrics_.text());
        else if (message.method() == http::verb::put && id)
            on_heartbeat(token, *id, message.body());
        else if (message.method() == http::verb::delete_ && id)
        {
            handler_.on_upstream_removal(*id);
            answer(token, 200, "{}");
        }
        else
            answer(token, 404, "");
    }

    void on_frontend_disconnect(client_token)
    {
    }

    /// Applies the request all the same: a heartbeat is news even if its sender
    /// does not wait for the acknowledgement.
    void on_frontend_request_abandoned(
        boost::beast::http::request<boost::beast::http::string_body>& message)
    {
        on_frontend_request({}, message, absl::InfinitePast());
    }

    void tick(absl::Time now)
    {
        frontend_.tick(now);
    }

private:
    static frontend_limits limits()
    {
        constexpr std::size_t max_body_bytes = 1u << 20;
        constexpr std::size_t max_connections = 64;
        return {
            .client_ = {.max_body_bytes_ = max_body_bytes},
            .max_connections_ = max_connections,
            .max_total_body_bytes_ = 4 * max_body_bytes};
    }

    void on_heartbeat(
        client_token token, upstream_id const& id, std::string const& body)
    {
        std::string defect;
        auto const heartbeat = Codec::decode(id, body, defect);
        if (heartbeat)
            defect = handler_.on_heartbeat(*heartbeat);
        if (defect.empty())
        {
            answer(token, 200, "{}");
            return;
        }
        handler_.on_invalid_heartbeat(id, defect);
        answer(token, 400, "");
    }

    void answer(client_token token, std::uint16_t status, std::string body)
    {
        frontend_.answer(
            token,
            {.status_ = status,
             .headers_ = body.empty() || body.front() != '{'
                             ? "Content-Type: text/plain\r\n"
                             : "Content-Type: application/json\r\n",
             .body_ = payload(std::move(body))});
    }

    metric_registry const& metrics_;
    Handler& handler_;
    http_frontend<control_frontend> frontend_;
};

} // namespace samphire
