#pragma once

#include "base/endpoint.hpp"
#include "base/service_name.hpp"
#include "forwarding/upstream_id.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// State of an upstream, which the upstream reports periodically.
struct upstream_heartbeat
{
    upstream_id id_{};
    /// Unix time in milliseconds at which the upstream started.
    std::int64_t start_time_ms_{};
    /// Sequence number, which increases with each heartbeat of the same
    /// upstream process.
    std::int64_t sequence_{};
    service_name service_{};
    endpoint address_{};
    std::string zone_{};
    std::uint32_t slots_{};
    bool draining_{};
    /// Time until the upstream has warmed up after its start; the upstream is
    /// slow until then.
    absl::Duration remaining_warmup_{};

    friend bool
    operator==(upstream_heartbeat const&, upstream_heartbeat const&) = default;
};

} // namespace samphire
