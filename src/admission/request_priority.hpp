#pragma once

#include "base/request_id.hpp"
#include "policy/importance.hpp"

#include <cstdint>

namespace samphire
{

constexpr std::uint64_t priority_steps_per_class = 128;
constexpr std::uint64_t priority_limit = 4 * priority_steps_per_class;

/// Returns a priority in [0, 512). Within an importance class the priority
/// depends only on the request id, so every hop admits or sheds the same
/// requests, and an admitted request is not shed halfway through its call
/// chain.
std::uint64_t request_priority(importance level, request_id const& request);

} // namespace samphire
