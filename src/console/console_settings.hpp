#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire
{

/// Setting definitions of samphire-console.
std::span<setting_definition const> console_setting_definitions();

} // namespace samphire
