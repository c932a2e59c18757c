#pragma once

#include "core/actions/answer_caller.hpp"
#include "daemon/request_error.hpp"
#include "http/http_response.hpp"

namespace samphire
{

/// Converts an answer to an HTTP response with the upstream's status if the
/// outcome is completed, 503 if it is not_run and 504 if it is unknown.
http_response write_answer(answer_caller const& answer);

/// Returns a response with status 400 that names the invalid field and the rule
/// that the field breaks.
http_response write_request_error(request_error const& error);

} // namespace samphire
