#pragma once

#include "ctl/command_result.hpp"
#include "operations/rollout.hpp"

namespace samphire
{

/// Prints one line for each revision in each failure domain, and one for each
/// daemon that could not be reached.
command_result report_rollout(rollout const& found);

} // namespace samphire
