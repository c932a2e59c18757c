#pragma once

#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// End of one HTTP request; without a response it was not completed.
struct http_exchange
{
    request_token const token_{};
    std::optional<http_response> const response_{};

    friend bool
    operator==(http_exchange const&, http_exchange const&) = default;
};

} // namespace samphire
