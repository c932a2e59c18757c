#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

namespace samphire
{

/// A request, passed from the HTTP thread to the thread that answers it.
struct console_request
{
    request_token const token_{};
    http_request const request_{};

    friend bool
    operator==(console_request const&, console_request const&) = default;
};

} // namespace samphire
