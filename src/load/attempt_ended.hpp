#pragma once

#include "base/payload.hpp"
#include "http/request_token.hpp"
#include "load/load_outcome.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Result of one attempt; `whole` until the body has been compared.
struct attempt_ended
{
    request_token const token_{};
    absl::Time const at_{};
    load_outcome const outcome_{};
    std::string const ticket_{};
    payload const body_{};

    friend bool
    operator==(attempt_ended const&, attempt_ended const&) = default;
};

} // namespace samphire
