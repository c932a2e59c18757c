#pragma once

#include "settings/setting_error.hpp"
#include "settings/setting_values.hpp"

#include <string>
#include <variant>
#include <vector>

namespace samphire
{

/// Text to print for --help, --version or --settings-reference.
struct settings_notice
{
    std::string const text_{};

    friend bool
    operator==(settings_notice const&, settings_notice const&) = default;
};

/// Values of all settings, all errors at once, or a notice.
using parsed_settings =
    std::variant<setting_values, std::vector<setting_error>, settings_notice>;

} // namespace samphire
