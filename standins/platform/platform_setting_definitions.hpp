#pragma once

#include "platform/platform_settings.hpp"
#include "settings/setting_definition.hpp"
#include "settings/setting_values.hpp"

#include <span>

namespace samphire::standin
{

/// Returns the names, defaults and rules of the settings of standin-platform.
std::span<setting_definition const> platform_setting_definitions();

platform_settings platform_settings_from(setting_values const& values);

} // namespace samphire::standin
