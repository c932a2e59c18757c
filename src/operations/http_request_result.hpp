#pragma once

#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// Result of one HTTP request; a failed request has no response.
struct http_request_result
{
    request_token const token_{};
    std::optional<http_response> const response_{};

    friend bool operator==(
        http_request_result const&, http_request_result const&) = default;
};

} // namespace samphire
