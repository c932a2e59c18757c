#pragma once

#include "settings/parsed_settings.hpp"
#include "settings/settings_parser.hpp"

#include <string>

namespace samphire
{

/// Reads settings from a file of lines "name = value" whose names are those of
/// the flags. Flags and SAMPHIRE_ variables override the file. Lines that begin
/// with # and unknown names are ignored.
class settings_file
{
public:
    explicit settings_file(std::string path) : path_(std::move(path))
    {
    }

    parsed_settings parse(
        settings_parser const& parser, int argc, char const* const* argv) const;

    /// Returns the text of the file; empty when the file cannot be read.
    std::string text() const;

private:
    std::string const path_;
};

} // namespace samphire
