#pragma once

#include "http/http_request.hpp"

#include <string>

namespace samphire
{

/// True if the Host header is a numeric address or localhost. This prevents DNS
/// rebinding: pages of a foreign name that resolves to the console could
/// otherwise read its forms.
bool has_trusted_host(http_request const& request);

/// Returns the value of the session cookie; empty when there is none.
std::string session_cookie(http_request const& request);

} // namespace samphire
