#pragma once

#include "base/service_name.hpp"

#include <cstdint>

namespace samphire
{

/// Part of a route's requests that goes to one service.
struct service_share
{
    service_name service_{};
    std::uint32_t weight_{1};

    friend bool
    operator==(service_share const&, service_share const&) = default;
};

} // namespace samphire
