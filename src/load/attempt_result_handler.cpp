#include "load/attempt_result_handler.hpp"

namespace samphire
{

namespace
{

load_outcome
outcome_of(http_response const& response, bool calls_upstreams_directly)
{
    std::string const outcome_header =
        find_header(response.headers_, "Samphire-Outcome").value_or("");
    if (outcome_header == "not-run")
        return load_outcome::not_run;
    if (outcome_header == "unknown")
        return load_outcome::unknown;
    bool const completed =
        outcome_header == "completed" || calls_upstreams_directly;
    return completed && response.status_ == 200 ? load_outcome::whole
                                                : load_outcome::error_status;
}

} // namespace

void attempt_result_handler::on_response(
    request_token token, http_response const& response)
{
    results_.push(
        {.token_ = token,
         .ended_at_ = clock_.now(),
         .outcome_ = outcome_of(response, calls_upstreams_directly_),
         .ticket_ =
             find_header(response.headers_, "Samphire-Ticket").value_or(""),
         .body_ = response.body_});
}

void attempt_result_handler::on_failure(
    request_token token, http_client_error error)
{
    bool const nothing_sent =
        error == http_client_error::refused || error == http_client_error::full;
    results_.push(
        {.token_ = token,
         .ended_at_ = clock_.now(),
         .outcome_ =
             nothing_sent ? load_outcome::refused : load_outcome::no_answer});
}

} // namespace samphire
