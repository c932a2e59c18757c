#pragma once

#include "common/request_abandoned.hpp"
#include "common/request_arrived.hpp"

#include <variant>

namespace samphire::standin
{

using platform_event = std::variant<request_arrived, request_abandoned>;

} // namespace samphire::standin
