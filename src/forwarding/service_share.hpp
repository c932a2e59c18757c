#pragma once

#include "base/service_name.hpp"

#include <cstdint>

namespace samphire
{

/// One of the services among which the requests of a route are divided in
/// proportion to their weights.
struct service_share
{
    service_name service_{};
    std::uint32_t weight_{1};

    friend bool
    operator==(service_share const&, service_share const&) = default;
};

} // namespace samphire
