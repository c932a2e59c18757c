#pragma once

#include "base/endpoint.hpp"
#include "base/payload.hpp"
#include "http/header_list.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace samphire
{

/// HTTP request that an http_client sends to destination_.
struct outgoing_request
{
    std::string const method_{"GET"};
    endpoint const destination_{};
    /// Path and query.
    std::string const path_{};
    header_list const headers_{};
    payload const body_{};
    absl::Duration const timeout_{absl::Seconds(10)};
    /// Whether the request must not use a connection that is already open.
    bool const fresh_connection_{};
    /// Whether the connection is closed after the response.
    bool const close_after_response_{};
    /// Header that the server copies into the response, if it copies it at all.
    /// A response with another value answers another request: the transfer
    /// fails and its connection is closed.
    std::optional<http_header> const echoed_header_{};

    friend bool
    operator==(outgoing_request const&, outgoing_request const&) = default;
};

} // namespace samphire
