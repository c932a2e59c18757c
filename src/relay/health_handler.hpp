#pragma once

#include "forwarding/health_report.hpp"

#include <concepts>

namespace samphire
{

/// Receives the outcomes of health checks.
template <class T>
concept health_handler = requires(T handler, health_report const& report)
{
    {handler.on_health_check_ended(report)};
};

} // namespace samphire
