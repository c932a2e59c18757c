#pragma once

#include "base/endpoint.hpp"
#include "base/service_name.hpp"
#include "forwarding/upstream_id.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// What an upstream says of itself.
struct upstream_heartbeat
{
    upstream_id id_{};
    /// Unix time in milliseconds at which the upstream started.
    std::int64_t born_{};
    /// Rises with each heartbeat of one start.
    std::int64_t sequence_{};
    service_name service_{};
    endpoint address_{};
    std::string zone_{};
    std::uint32_t slots_{};
    bool draining_{};
    /// How much longer it is slow after its start.
    absl::Duration warmup_{};

    friend bool
    operator==(upstream_heartbeat const&, upstream_heartbeat const&) = default;
};

} // namespace samphire
