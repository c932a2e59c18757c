#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire
{

/// Settings of samphirectl.
std::span<setting_definition const> ctl_setting_definitions();

} // namespace samphire
