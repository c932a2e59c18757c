#pragma once

#include "base/service_name.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Health check and connection limit of the upstreams of one service.
struct service_rule
{
    service_name name_{};
    /// Path of the health check that the upstreams answer.
    std::string health_path_{};
    /// Maximum number of connections that one upstream accepts from all callers
    /// together.
    std::uint32_t max_connections_{};

    friend bool operator==(service_rule const&, service_rule const&) = default;
};

} // namespace samphire
