#pragma once

#include "base/payload.hpp"
#include "base/service_name.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Returns a hash that is the same for every attempt of a request, at any
/// daemon. `caller`: service of the VM whose daemon received the request.
std::uint64_t request_fingerprint(
    service_name const& caller,
    std::string_view host,
    std::string_view method,
    std::string_view target,
    payload const& body);

} // namespace samphire
