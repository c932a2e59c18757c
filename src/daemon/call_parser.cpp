#include "daemon/call_parser.hpp"

#include "base/name_rules.hpp"
#include "base/text.hpp"
#include "execution/ticket_text.hpp"
#include "tracing/traceparent.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

namespace
{

constexpr std::string_view call_prefix = "/call/";
constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t max_timeout_ms = 3'600'000;

} // namespace

call_parse_result parse_call(call_id call, http_request const& request)
{
    if (request.method_ != "POST")
        return request_error{"method", "must be POST"};
    std::string_view const path = std::string_view(request.path_);
    std::string_view const target =
        path.substr(std::min(call_prefix.size(), path.size()));
    auto const slash = target.find('/');
    std::string_view const service = target.substr(0, slash);
    std::string_view const route = slash == std::string_view::npos
                                       ? std::string_view()
                                       : target.substr(slash + 1);
    if (!is_valid_name(service))
        return request_error{
            "service", "must be 1 to 128 of a-z A-Z 0-9 - _ ."};
    if (!is_valid_route(route))
        return request_error{
            "route", "must be parts of a-z A-Z 0-9 - _ . joined by /"};

    auto const key = find_header(request.headers_, "Idempotency-Key");
    if (key && (key->empty() || key->size() > max_key_bytes))
        return request_error{"Idempotency-Key", "must have 1 to 256 bytes"};

    auto const ticket_header = find_header(request.headers_, "Samphire-Ticket");
    auto const ticket =
        ticket_header ? parse_ticket(*ticket_header) : std::nullopt;
    if (ticket_header && !ticket)
        return request_error{
            "Samphire-Ticket",
            "must be a ticket that an earlier answer returned"};

    auto const timeout_header =
        find_header(request.headers_, "Samphire-Timeout-Ms");
    std::int64_t const timeout_ms =
        parse_number<std::int64_t>(timeout_header.value_or("")).value_or(0);
    bool const invalid_timeout =
        timeout_header && (timeout_ms < 1 || timeout_ms > max_timeout_ms);
    if (invalid_timeout)
        return request_error{
            "Samphire-Timeout-Ms", "must be a whole number from 1 to 3600000"};

    auto const execution_header =
        find_header(request.headers_, "Samphire-Execution");
    std::uint64_t const execution =
        parse_number<std::uint64_t>(execution_header.value_or("")).value_or(0);
    if (execution_header && execution == 0)
        return request_error{
            "Samphire-Execution",
            "must be the execution number that the upstream received"};

    auto const trace_header = find_header(request.headers_, "traceparent");
    // Ignores a malformed traceparent, as W3C Trace Context says.
    auto const trace =
        trace_header ? parse_traceparent(*trace_header) : std::nullopt;

    return call_received{
        .call_ = call,
        .source_ =
            execution_header ? call_source::upstream : call_source::caller,
        .service_ = service_name(std::string(service)),
        .route_ = route_name(std::string(route)),
        .key_ = idempotency_key(key.value_or("")),
        .ticket_ = ticket,
        .parent_ = execution_id(execution),
        .timeout_ = timeout_header ? absl::Milliseconds(timeout_ms)
                                   : absl::InfiniteDuration(),
        .trace_ = trace,
        .body_ = request.body_};
}

} // namespace samphire
