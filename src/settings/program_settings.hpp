#pragma once

#include "settings/settings_parser.hpp"

#include <optional>

namespace samphire
{

/// Parses the settings of a program for its main function. Without values it
/// prints the notice to standard output or the errors to standard error, and
/// sets the code with which the program must exit.
std::optional<setting_values> read_program_settings(
    settings_parser const& parser,
    int argc,
    char const* const* argv,
    int& exit_code);

/// Returns the values of parsed settings; without values it prints and sets
/// `exit_code` as read_program_settings does.
std::optional<setting_values>
values_or_exit_code(parsed_settings const& parsed, int& exit_code);

} // namespace samphire
