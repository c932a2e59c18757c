#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire
{

/// Settings of samphire-relay.
std::span<setting_definition const> relay_setting_definitions();

} // namespace samphire
