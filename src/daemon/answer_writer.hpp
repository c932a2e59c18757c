#pragma once

#include "core/actions/answer_caller.hpp"
#include "daemon/request_error.hpp"
#include "http/http_response.hpp"

namespace samphire
{

/// The HTTP form of an answer: the upstream's status for completed, 503 for
/// not run, 504 for unknown.
http_response write_answer(answer_caller const& answer);

/// 400 with the field and the rule.
http_response write_request_error(request_error const& error);

} // namespace samphire
