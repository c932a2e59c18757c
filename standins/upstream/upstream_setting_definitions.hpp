#pragma once

#include "settings/setting_definition.hpp"

#include <span>

namespace samphire::standin
{

/// Settings tree of standin-upstream.
std::span<setting_definition const> upstream_setting_definitions();

} // namespace samphire::standin
