#pragma once

#include "base/daemon_id.hpp"
#include "base/domain_name.hpp"
#include "base/endpoint.hpp"
#include "base/revision.hpp"

namespace samphire
{

/// What one daemon says about itself in GET /status.
struct daemon_report
{
    /// HTTP address that was asked.
    endpoint const address_{};
    bool const reached_{};
    daemon_id const daemon_{};
    domain_name const domain_{};
    /// Revision in force; zero stands for the built-in defaults.
    revision const revision_{};

    friend bool
    operator==(daemon_report const&, daemon_report const&) = default;
};

} // namespace samphire
