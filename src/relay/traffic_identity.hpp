#pragma once

#include "base/endpoint.hpp"
#include "base/service_name.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Identity and addresses of this daemon.
struct traffic_identity
{
    std::string daemon_id_{};
    std::string zone_{};
    service_name service_{};
    /// Number that differs at each start of the process.
    std::uint64_t incarnation_{};
    endpoint peer_address_{};
    endpoint client_address_{};
    endpoint ready_address_{};
    endpoint control_address_{};
    /// Empty when no separate address serves metrics.
    endpoint metrics_address_{};
    endpoint upstream_address_{};

    friend bool
    operator==(traffic_identity const&, traffic_identity const&) = default;
};

} // namespace samphire
