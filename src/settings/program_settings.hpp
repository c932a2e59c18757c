#pragma once

#include "settings/settings_parser.hpp"

#include <optional>

namespace samphire
{

/// Parses the settings of a program for its main function. Prints a notice to
/// standard output and errors to standard error; without values the program
/// ends with `exit_code`.
std::optional<setting_values> read_program_settings(
    settings_parser const& parser,
    int argc,
    char const* const* argv,
    int& exit_code);

/// Values of settings that were parsed; prints a notice or all errors and sets
/// `exit_code` when there are none.
std::optional<setting_values>
settings_of(parsed_settings const& parsed, int& exit_code);

} // namespace samphire
