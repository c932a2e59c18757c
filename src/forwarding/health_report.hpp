#pragma once

#include "forwarding/health_status.hpp"
#include "forwarding/upstream_id.hpp"

namespace samphire
{

/// Outcome of a health check of the local upstream.
struct health_report
{
    health_status status_{health_status::unanswered};
    /// Id of the upstream that stated that it is healthy.
    upstream_id id_{};

    friend bool
    operator==(health_report const&, health_report const&) = default;
};

} // namespace samphire
