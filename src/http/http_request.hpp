#pragma once

#include "base/payload.hpp"
#include "http/header_list.hpp"

#include <string>

namespace samphire
{

/// One HTTP request as a server received it.
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
