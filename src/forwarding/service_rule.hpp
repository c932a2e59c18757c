#pragma once

#include "base/service_name.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Settings of all upstreams of one service.
struct service_rule
{
    service_name name_{};
    std::string health_path_{};
    /// Maximum number of connections that an upstream accepts from all callers
    /// together.
    std::uint32_t max_connections_{};

    friend bool operator==(service_rule const&, service_rule const&) = default;
};

} // namespace samphire
