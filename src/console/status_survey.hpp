#pragma once

#include "operations/daemon_report.hpp"

#include <concepts>
#include <vector>

namespace samphire
{

/// Requires a function that requests the status of daemons and waits for their
/// reports.
template <class T>
concept status_survey = requires(T survey)
{
    {
        survey.collect_reports()
        } -> std::same_as<std::vector<daemon_report>>;
};

} // namespace samphire
