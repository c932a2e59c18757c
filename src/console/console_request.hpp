#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

namespace samphire
{

/// Carries the HTTP request of a browser from the HTTP thread to the thread
/// that answers requests.
struct console_request
{
    request_token const token_{};
    http_request const request_{};

    friend bool
    operator==(console_request const&, console_request const&) = default;
};

} // namespace samphire
