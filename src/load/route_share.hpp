#pragma once

#include "load/route_importance.hpp"
#include "load/route_length.hpp"

#include <cstdint>
#include <string>

namespace samphire
{

/// Route of a load mix, with its share of the arrivals.
struct route_share
{
    /// The route as "service/route".
    std::string const target_{};
    /// Share of the arrivals, relative to the sum of all weights.
    std::uint32_t const weight_{1};
    route_importance const importance_{route_importance::normal};
    route_length const length_{route_length::short_work};

    friend bool operator==(route_share const&, route_share const&) = default;
};

} // namespace samphire
