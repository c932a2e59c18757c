#pragma once

#include "base/fingerprint.hpp"
#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire
{

/// Returns a hash of the service, route and body, which is the same for every
/// copy of a request, on every daemon.
fingerprint request_fingerprint(
    service_name const& service, route_name const& route, payload const& body);

} // namespace samphire
