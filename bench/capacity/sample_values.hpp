#pragma once

#include "core/daemon_identity.hpp"
#include "membership/member_record.hpp"
#include "messages/peer_identity.hpp"
#include "policy/policy_document.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace samphire::bench
{

// The sample names are as long as names in real deployments, such as
// "sensorvault-0042", so that message sizes and memory use are realistic.

inline endpoint sample_endpoint(std::size_t number)
{
    return endpoint(0x0a000000 + static_cast<std::uint32_t>(number), 7000);
}

inline daemon_identity sample_identity(std::size_t number)
{
    return {
        .daemon_ = daemon_id(fmt::format("sensorvault-{:04}", number)),
        .domain_ = domain_name("nairobi-a"),
        .endpoint_ = sample_endpoint(number),
        .incarnation_ = incarnation(1)};
}

inline peer_identity sample_peer(std::size_t number)
{
    daemon_identity const self = sample_identity(number);
    return {self.daemon_, self.incarnation_, self.endpoint_};
}

inline member_record
sample_member(std::size_t number, std::uint64_t sequence = 1)
{
    daemon_identity const self = sample_identity(number);
    return {
        .daemon_ = self.daemon_,
        .domain_ = self.domain_,
        .endpoint_ = self.endpoint_,
        .incarnation_ = self.incarnation_,
        .sequence_ = sequence,
        .service_ = service_name(fmt::format("service-{:03}", number % 780)),
        .slots_ = 140};
}

inline std::vector<member_record> sample_members(std::size_t count)
{
    std::vector<member_record> result;
    for (std::size_t n = 0; n < count; ++n)
        result.push_back(sample_member(n + 2));
    return result;
}

/// Returns a policy document with four routes for each service.
inline policy_document sample_policy(std::size_t services)
{
    std::vector<service_policy> sections;
    for (std::size_t n = 0; n < services; ++n)
    {
        std::vector<route_policy> routes;
        for (char const* const name : {"list", "confirm", "upload", "report"})
            routes.push_back({.route_ = route_name(name)});
        sections.push_back(
            {.service_ = service_name(fmt::format("service-{:03}", n)),
             .routes_ = routes});
    }
    return {.revision_ = revision(1), .services_ = sections};
}

} // namespace samphire::bench
