#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

namespace samphire::standin
{

/// A complete request arrived at a stand-in.
struct request_arrived
{
    request_token const token_{};
    http_request const request_{};

    friend bool
    operator==(request_arrived const&, request_arrived const&) = default;
};

} // namespace samphire::standin
