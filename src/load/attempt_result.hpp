#pragma once

#include "base/payload.hpp"
#include "http/request_token.hpp"
#include "load/load_outcome.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Outcome and answer of one attempt of a call. For the outcome `whole` the
/// body is not checked yet: load_run compares it with the body of the request.
struct attempt_result
{
    request_token const token_{};
    absl::Time const ended_at_{};
    load_outcome const outcome_{};
    std::string const ticket_{};
    payload const body_{};

    friend bool
    operator==(attempt_result const&, attempt_result const&) = default;
};

} // namespace samphire
