#pragma once

#include "forwarding/upstream_id.hpp"

#include <concepts>
#include <optional>

namespace samphire
{

/// Receives the outcomes of health checks.
template <class T>
concept health_handler =
    requires(T handler, std::optional<upstream_id> const& healthy)
{
    /// `healthy`: the upstream that stated that it is healthy; nothing when
    /// it did not, or not in time.
    {handler.on_health_check_ended(healthy)};
};

} // namespace samphire
