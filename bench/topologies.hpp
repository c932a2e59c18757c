#pragma once

#include "mesh_node.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace samphire::bench
{

/// Adds `count` upstreams of a service, distributed evenly over the failure
/// domains.
inline void add_service(
    std::vector<mesh_node>& nodes,
    std::vector<std::string> const& domains,
    std::size_t count,
    fake::upstream_model const& model)
{
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back({domains[i % domains.size()], model});
}

inline fake::child_call call_on_same_route(std::string const& service)
{
    return {service_name(service), {}};
}

/// Returns the nodes of the co-operative with its present number of upstreams
/// and a tenth of their slots. A request to slots calls bookings, which calls
/// measures; measures is the bottleneck with 12 slots of 20 ms, so the capacity
/// is 600 requests/s.
inline std::vector<mesh_node> cooperative_topology()
{
    std::vector<std::string> const domains{"tas-a", "tas-b", "tas-c"};
    std::vector<mesh_node> nodes;
    add_service(
        nodes,
        domains,
        6,
        {service_name("slots"),
         10,
         absl::Milliseconds(10),
         {call_on_same_route("bookings")}});
    add_service(
        nodes,
        domains,
        4,
        {service_name("bookings"),
         15,
         absl::Milliseconds(10),
         {call_on_same_route("measures")}});
    add_service(
        nodes,
        domains,
        3,
        {service_name("photos"), 20, absl::Milliseconds(10)});
    add_service(
        nodes,
        domains,
        3,
        {service_name("measures"), 4, absl::Milliseconds(20)});
    return nodes;
}

constexpr double cooperative_capacity_per_s = 600;

/// Returns the nodes of the trust with its present number of upstreams and a
/// tenth of their slots. A request to catalogue calls runbook, which calls
/// specview; specview is the bottleneck with 12 slots of 20 ms, so the capacity
/// is 600 requests/s.
inline std::vector<mesh_node> trust_topology()
{
    std::vector<std::string> const domains{"nbo-a", "nbo-b", "nbo-c", "nbo-d"};
    std::vector<mesh_node> nodes;
    add_service(
        nodes,
        domains,
        5,
        {service_name("catalogue"),
         11,
         absl::Milliseconds(10),
         {call_on_same_route("runbook")}});
    add_service(
        nodes,
        domains,
        4,
        {service_name("runbook"),
         14,
         absl::Milliseconds(10),
         {call_on_same_route("specview")}});
    add_service(
        nodes,
        domains,
        4,
        {service_name("sensorvault"), 14, absl::Milliseconds(10)});
    add_service(
        nodes,
        domains,
        4,
        {service_name("specview"), 3, absl::Milliseconds(20)});
    return nodes;
}

constexpr double trust_capacity_per_s = 600;

} // namespace samphire::bench
