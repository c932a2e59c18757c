#pragma once

#include "store/store_action.hpp"
#include "store/store_status.hpp"

#include <string_view>

namespace samphire
{

/// Returns the name of the enumerator.
std::string_view store_action_text(store_action action);
/// Returns the name of the enumerator.
std::string_view store_status_text(store_status status);

} // namespace samphire
