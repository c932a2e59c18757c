#pragma once

#include "ctl/command_line.hpp"
#include "ctl/command_result.hpp"
#include "settings/setting_values.hpp"

namespace samphire
{

/// Runs the command; an unknown command or a missing operand is a usage error.
command_result
run_command(command_line const& line, setting_values const& settings);

} // namespace samphire
