#include "daemon/answer_writer.hpp"

#include "execution/ticket_text.hpp"
#include "tracing/traceparent.hpp"

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

namespace samphire
{

namespace
{

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_run = 503;
constexpr std::uint16_t status_unknown = 504;

std::string_view outcome_text(call_outcome outcome)
{
    switch (outcome)
    {
    case call_outcome::completed:
        return "completed";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::uint16_t http_status_of(answer_caller const& answer)
{
    switch (answer.outcome_)
    {
    case call_outcome::completed:
        return answer.status_;
    case call_outcome::not_run:
        return status_not_run;
    case call_outcome::unknown:
        return status_unknown;
    }
    return status_unknown;
}

} // namespace

http_response write_answer(answer_caller const& answer)
{
    header_list headers{
        {"Samphire-Outcome", std::string(outcome_text(answer.outcome_))},
        {"Samphire-Reason", std::string(reason_text(answer.reason_))},
        {"traceparent", format_traceparent(answer.trace_)}};
    if (answer.ticket_)
        headers.push_back({"Samphire-Ticket", format_ticket(*answer.ticket_)});
    payload const body = answer.outcome_ == call_outcome::completed
                             ? answer.body_
                             : payload(fmt::format(
                                   "{}: {}\n",
                                   outcome_text(answer.outcome_),
                                   reason_text(answer.reason_)));
    return {
        .status_ = http_status_of(answer),
        .headers_ = std::move(headers),
        .body_ = body};
}

http_response write_request_error(request_error const& error)
{
    return {
        .status_ = status_bad_request,
        .headers_ = {{"Samphire-Outcome", "not-run"}},
        .body_ = payload(fmt::format("{}: {}\n", error.field_, error.rule_))};
}

} // namespace samphire
