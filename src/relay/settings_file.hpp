#pragma once

#include "settings/parsed_settings.hpp"
#include "settings/settings_parser.hpp"

#include <string>

namespace samphire
{

/// Settings from a file of lines "name = value" with the names of the flags;
/// flags and SAMPHIRE_ variables go before it. Lines that begin with # and
/// names that are not known are passed over.
class settings_file
{
public:
    explicit settings_file(std::string path) : path_(std::move(path))
    {
    }

    parsed_settings parse(
        settings_parser const& parser, int argc, char const* const* argv) const;

    /// Text of the file; empty when it cannot be read.
    std::string text() const;

private:
    std::string const path_;
};

} // namespace samphire
