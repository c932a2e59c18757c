#pragma once

#include "common/request_abandoned.hpp"
#include "common/request_arrived.hpp"
#include "upstream/call_ended.hpp"

#include <variant>

namespace samphire::standin
{

using upstream_event =
    std::variant<request_arrived, request_abandoned, call_ended>;

} // namespace samphire::standin
