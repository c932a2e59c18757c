#pragma once

#include "base/idempotency_key.hpp"
#include "base/request_id.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire
{

/// Returns a hash that identifies an idempotency key of one route of a service.
/// Every daemon computes the same hash.
request_id key_identity(
    service_name const& service,
    route_name const& route,
    idempotency_key const& key);

} // namespace samphire
