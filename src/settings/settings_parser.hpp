#pragma once

#include "settings/parsed_settings.hpp"
#include "settings/setting_definition.hpp"

#include <span>
#include <string>
#include <string_view>

namespace samphire
{

/// Reads flags and SAMPHIRE_ environment variables; a flag overrides its
/// variable.
class settings_parser
{
public:
    settings_parser(
        std::string program,
        std::string summary,
        std::span<setting_definition const> definitions);

    /// `variable` looks up an environment variable by name and returns a null
    /// pointer when it is not set.
    parsed_settings parse(
        int argc,
        char const* const* argv,
        char const* (*variable)(char const* name)) const;

    /// Markdown section of the program: its name and a table of all settings.
    std::string reference() const;

private:
    std::string help() const;

    std::string const program_;
    std::string const summary_;
    std::span<setting_definition const> const definitions_;
};

/// Returns the environment variable of a setting: SAMPHIRE_ and the name in
/// upper case, with underscores.
std::string variable_name(std::string_view setting);

/// Returns the rule that the value breaks; empty when the value is valid.
std::string
broken_rule(setting_definition const& definition, std::string_view value);

} // namespace samphire
