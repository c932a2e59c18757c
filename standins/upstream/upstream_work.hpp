#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

#include <cstddef>
#include <string>

namespace samphire::standin
{

/// One request in progress at the stand-in.
struct upstream_work
{
    http_request const request_{};
    /// Child calls that have ended well.
    std::size_t calls_done_{};
};

} // namespace samphire::standin
