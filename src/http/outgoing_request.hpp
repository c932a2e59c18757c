#pragma once

#include "base/endpoint.hpp"
#include "base/payload.hpp"
#include "http/header_list.hpp"

#include <absl/time/time.h>

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

    friend bool
    operator==(outgoing_request const&, outgoing_request const&) = default;
};

} // namespace samphire
