#include "daemon/caller_gateway.hpp"

#include "daemon/announcement_parser.hpp"
#include "daemon/answer_writer.hpp"
#include "daemon/call_parser.hpp"

#include <utility>

namespace samphire
{

namespace
{

http_response text_page(std::uint16_t status, std::string text)
{
    return {
        .status_ = status,
        .headers_ = {{"Content-Type", "text/plain; charset=utf-8"}},
        .body_ = payload(std::move(text))};
}

http_response table_full_page()
{
    return {
        .status_ = 503,
        .headers_ =
            {{"Samphire-Outcome", "not-run"},
             {"Samphire-Reason", "table-full"}},
        .body_ = payload("not-run: table-full\n")};
}

} // namespace

caller_gateway::caller_gateway(
    http_server_settings settings, event_ring& events, daemon_state& state)
    : events_(events), state_(state), server_(std::move(settings), *this)
{
}

void caller_gateway::run()
{
    server_.run();
}

void caller_gateway::stop()
{
    server_.stop();
}

void caller_gateway::answer(answer_caller const& answer)
{
    server_.answer(request_token(answer.call_.value()), write_answer(answer));
}

void caller_gateway::answer_status(request_token token, std::string page)
{
    server_.answer(token, text_page(200, std::move(page)));
}

void caller_gateway::on_request(
    request_token token, http_request const& request)
{
    if (request.path_.starts_with("/call/"))
        on_call(token, request);
    else if (request.path_ == "/announce")
        on_announcement(token, request);
    else if (request.path_ == "/drain")
        on_drain_request(token, request);
    else if (request.path_ == "/status")
        on_status_request(token);
    else
        server_.answer(token, operator_endpoint_response(request));
}

void caller_gateway::on_client_disconnected(request_token token)
{
    events_.push(caller_disconnected{call_id(token.value())});
}

void caller_gateway::on_call(request_token token, http_request const& request)
{
    call_parse_result const parsed =
        parse_call(call_id(token.value()), request);
    if (!parsed)
    {
        state_.metrics().add("requests_refused_total");
        server_.answer(token, write_request_error(parsed.error()));
        return;
    }
    if (!events_.try_push(parsed.value()))
        server_.answer(token, table_full_page());
}

void caller_gateway::on_announcement(
    request_token token, http_request const& request)
{
    announcement_parse_result const parsed =
        parse_announcement(request.body_.bytes());
    if (!parsed)
    {
        state_.metrics().add("announcements_refused_total");
        server_.answer(token, write_request_error(parsed.error()));
        return;
    }
    bool const queued = events_.try_push(upstream_announced{parsed.value()});
    server_.answer(token, queued ? text_page(200, "ok\n") : table_full_page());
}

void caller_gateway::on_drain_request(
    request_token token, http_request const& request)
{
    if (request.method_ != "POST")
    {
        server_.answer(token, write_request_error({"method", "must be POST"}));
        return;
    }
    events_.push(drain_requested{});
    server_.answer(token, text_page(200, "draining\n"));
}

void caller_gateway::on_status_request(request_token token)
{
    if (!state_.status_requests().try_push(token))
    {
        server_.answer(token, table_full_page());
        return;
    }
    // Wakes the decisions thread. If the event ring is full, that thread is
    // running already, so a failed push does no harm.
    events_.try_push(timer_elapsed{});
}

http_response
caller_gateway::operator_endpoint_response(http_request const& request) const
{
    if (request.path_ == "/healthz")
        return text_page(200, "ok\n");
    if (request.path_ == "/readyz")
        return text_page(
            state_.is_ready() ? 200 : 503, state_.readiness_reason() + "\n");
    if (request.path_ == "/metrics")
        return text_page(200, state_.metrics().text());
    if (request.path_ == "/spans")
        return text_page(
            200,
            state_.spans().text(
                find_header(request.query_arguments_, "trace").value_or("")));
    return text_page(404, "no such page\n");
}

} // namespace samphire
