#pragma once

#include "ctl/command_line.hpp"
#include "ctl/command_result.hpp"
#include "settings/setting_values.hpp"

namespace samphire
{

/// Runs the command of samphirectl.
command_result
run_command(command_line const& line, setting_values const& settings);

} // namespace samphire
