#pragma once

#include "base/request_id.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Returns the ticket nonce of a call that a running request makes. `parent` is
/// the ticket nonce of the running request, `identity` is the key of the call,
/// and `sequence` is the value of next_child_number() for the call.
request_id child_nonce(
    request_id const& parent,
    std::string_view identity,
    std::uint32_t sequence);

} // namespace samphire
