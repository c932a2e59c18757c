#pragma once

#include "base/payload.hpp"
#include "http/header_list.hpp"

#include <string>

namespace samphire
{

/// HTTP request that an http_server passes to its handler.
struct http_request
{
    std::string const method_{};
    /// Path without the query.
    std::string const path_{};
    /// Decoded query arguments.
    header_list const query_arguments_{};
    header_list const headers_{};
    payload const body_{};

    friend bool operator==(http_request const&, http_request const&) = default;
};

} // namespace samphire
