#pragma once

#include "base/idempotency_key.hpp"
#include "base/request_id.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire
{

/// Hash that identifies a key of one route; the same on every daemon.
request_id key_identity(
    service_name const& service,
    route_name const& route,
    idempotency_key const& key);

} // namespace samphire
