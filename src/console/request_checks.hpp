#pragma once

#include "http/http_request.hpp"

#include <string>

namespace samphire
{

/// Whether the request names the console by a numeric address or localhost. A
/// foreign name that was made to resolve here would let its pages read forms.
bool has_local_host(http_request const& request);

/// Value of the session cookie; empty when there is none.
std::string session_cookie(http_request const& request);

} // namespace samphire
