#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire
{

/// Returns the definitions of all settings of samphire-relay.
std::span<setting_definition const> relay_setting_definitions();

} // namespace samphire
