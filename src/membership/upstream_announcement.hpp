#pragma once

#include "base/endpoint.hpp"
#include "base/service_name.hpp"

#include <cstdint>

namespace samphire
{

/// State that an upstream reports to the daemon on its VM.
struct upstream_announcement
{
    service_name const service_{};
    endpoint const endpoint_{};
    /// Requests that the upstream can run concurrently.
    std::uint32_t const slots_{};
    std::uint32_t const connections_{};
    /// Requests in progress as the upstream reports them; may be stale.
    std::uint32_t const reported_load_{};
    /// True while the upstream has recently started and is still warming up.
    bool const is_warming_up_{};

    friend bool operator==(
        upstream_announcement const&, upstream_announcement const&) = default;
};

} // namespace samphire
