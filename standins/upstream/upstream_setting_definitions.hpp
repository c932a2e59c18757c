#pragma once

#include "settings/setting_definition.hpp"
#include "settings/setting_values.hpp"
#include "upstream/upstream_settings.hpp"

#include <span>

namespace samphire::standin
{

/// Returns the names, defaults and rules of the settings of standin-upstream.
std::span<setting_definition const> upstream_setting_definitions();

upstream_settings upstream_settings_from(setting_values const& values);

} // namespace samphire::standin
