#pragma once

#include "operations/daemon_report.hpp"

#include <concepts>
#include <vector>

namespace samphire
{

/// Asks daemons for their status and waits for the reports.
template <class T>
concept status_survey = requires(T survey)
{
    {
        survey.ask()
        } -> std::same_as<std::vector<daemon_report>>;
};

} // namespace samphire
