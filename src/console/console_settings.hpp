#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire
{

/// Returns the names, defaults and rules of the settings of samphire-console.
std::span<setting_definition const> console_setting_definitions();

} // namespace samphire
