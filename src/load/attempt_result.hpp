#pragma once

#include "base/payload.hpp"
#include "http/request_token.hpp"
#include "load/load_outcome.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Result of one attempt. An outcome of `whole` does not say yet that the body
/// is the expected one: load_run compares it.
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
