#include "daemon/upstream_gateway.hpp"

#include "tracing/traceparent.hpp"

#include <string>
#include <utility>

namespace samphire
{

namespace
{

constexpr char const* execution_header = "Samphire-Execution";

upstream_failure to_upstream_failure(http_client_error error)
{
    switch (error)
    {
    case http_client_error::refused:
    case http_client_error::full:
        return upstream_failure::refused;
    case http_client_error::connection_lost:
        return upstream_failure::connection_lost;
    case http_client_error::truncated:
        return upstream_failure::truncated;
    case http_client_error::timeout:
        return upstream_failure::timeout;
    case http_client_error::cancelled:
        return upstream_failure::cancelled;
    }
    return upstream_failure::connection_lost;
}

} // namespace

upstream_gateway::upstream_gateway(std::size_t capacity, event_ring& events)
    : events_(events), client_(capacity, *this)
{
}

void upstream_gateway::run()
{
    client_.run();
}

void upstream_gateway::stop()
{
    client_.stop();
}

bool upstream_gateway::start(start_at_upstream const& command)
{
    http_header const execution{
        execution_header, std::to_string(command.execution_.value())};
    outgoing_request request{
        .method_ = "POST",
        .destination_ = command.upstream_,
        .path_ = "/" + command.route_.value(),
        .headers_ =
            {{"traceparent", format_traceparent(command.trace_)},
             execution,
             {"Samphire-Timeout-Ms",
              std::to_string(absl::ToInt64Milliseconds(command.timeout_))},
             {"Content-Type", "application/octet-stream"}},
        .body_ = command.body_,
        .timeout_ = command.timeout_,
        .close_after_response_ =
            !echoes_execution_.load(std::memory_order_relaxed),
        .echoed_header_ = execution};
    request_token const token(command.execution_.value());
    return client_.send(token, std::move(request));
}

void upstream_gateway::cancel(cancel_at_upstream const& command)
{
    client_.cancel(request_token(command.execution_.value()));
}

void upstream_gateway::on_response(
    request_token token, http_response const& response)
{
    echoes_execution_.store(
        find_header(response.headers_, execution_header).has_value(),
        std::memory_order_relaxed);
    events_.push(upstream_answered{
        execution_id(token.value()), response.status_, response.body_});
}

void upstream_gateway::on_failure(request_token token, http_client_error error)
{
    events_.push(upstream_failed{
        execution_id(token.value()), to_upstream_failure(error)});
}

} // namespace samphire
