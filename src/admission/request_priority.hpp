#pragma once

#include "base/request_id.hpp"
#include "policy/importance.hpp"

#include <cstdint>

namespace samphire
{

constexpr std::uint64_t priority_steps_per_class = 128;
constexpr std::uint64_t priority_limit = 4 * priority_steps_per_class;

/// Priority in [0, 512). Within a class it depends on the request id only, so
/// every hop keeps or sheds the same requests and whole requests complete.
std::uint64_t request_priority(importance level, request_id const& request);

} // namespace samphire
