#pragma once

#include "base/daemon_id.hpp"
#include "base/domain_name.hpp"
#include "base/endpoint.hpp"
#include "base/revision.hpp"

namespace samphire
{

/// State that one daemon reports in its answer to GET /status.
struct daemon_report
{
    /// HTTP address that the status was requested from.
    endpoint const address_{};
    /// False without a valid answer; the fields below are empty then.
    bool const reached_{};
    daemon_id const daemon_{};
    domain_name const domain_{};
    /// Policy revision in force; zero stands for the built-in defaults.
    revision const revision_{};

    friend bool
    operator==(daemon_report const&, daemon_report const&) = default;
};

} // namespace samphire
