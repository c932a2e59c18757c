#pragma once

#include "settings/setting_definition.hpp"
#include "settings/setting_values.hpp"

#include <span>

namespace samphire
{

/// Returns the definitions of all settings of samphire-daemon.
std::span<setting_definition const> daemon_setting_definitions();

} // namespace samphire
