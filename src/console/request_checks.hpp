#pragma once

#include "http/http_request.hpp"

#include <string>

namespace samphire
{

/// Returns whether the Host header is a numeric address or localhost. The check
/// prevents DNS rebinding: pages of a foreign host name that resolves to the
/// console could otherwise read the forms of the console.
bool has_trusted_host(http_request const& request);

/// Returns the value of the session cookie; empty when the request has no such
/// cookie.
std::string session_cookie(http_request const& request);

} // namespace samphire
