#pragma once

#include "site.hpp"
#include "topologies.hpp"

namespace samphire::bench
{

/// Index, in the routes of each site, of the route whose requests are
/// critical.
constexpr std::size_t important_route = 0;

/// Returns four routes of different importance. Only a tenth of the load is
/// critical, so that the critical requests alone stay below the capacity when
/// the whole load is five times the capacity.
inline std::vector<load_route> mixed_routes(std::string const& service)
{
    return {
        {service, "book", 0.1, importance::critical, true},
        {service, "hold", 0.2, importance::high},
        {service, "find", 0.6, importance::normal},
        {service, "sync", 0.1, importance::background}};
}

inline site cooperative_site()
{
    return {
        "coop",
        cooperative_topology(),
        mixed_routes("slots"),
        "measures",
        cooperative_capacity_per_s};
}

inline site trust_site()
{
    return {
        "trust",
        trust_topology(),
        mixed_routes("catalogue"),
        "specview",
        trust_capacity_per_s};
}

} // namespace samphire::bench
