#pragma once

#include "base/service_name.hpp"

#include <cstdint>

namespace samphire
{

/// Service that receives a weighted share of a route's requests.
struct service_share
{
    service_name service_{};
    std::uint32_t weight_{1};

    friend bool
    operator==(service_share const&, service_share const&) = default;
};

} // namespace samphire
