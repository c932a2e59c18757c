#pragma once

#include "forwarding/forwarding_policy.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace samphire
{

/// Immutable index of the operators' policy that finds the route of a request.
class route_index
{
public:
    explicit route_index(std::shared_ptr<forwarding_policy const> policy);

    /// Returns the route of `host` whose path prefix is the longest prefix of
    /// `path`; null when there is none. A port in `host` is ignored.
    route_rule const* find(std::string_view host, std::string_view path) const;

    /// Returns the rule of the service; null when the policy has none.
    service_rule const* service(service_name const& name) const;

    /// Returns the urgency class of a priority: the number of distinct route
    /// priorities that are less urgent, so 0 for the least urgent priority.
    double urgency(std::int32_t priority) const;

    forwarding_policy const& policy() const
    {
        return *policy_;
    }

    std::shared_ptr<forwarding_policy const> const& shared_policy() const
    {
        return policy_;
    }

private:
    std::shared_ptr<forwarding_policy const> policy_;
    /// Routes by host in lower case, then by path prefix.
    absl::flat_hash_map<
        std::string,
        absl::flat_hash_map<std::string, route_rule const*>>
        routes_by_host_;
    absl::flat_hash_map<service_name, service_rule const*> services_by_name_;
    /// Distinct priorities of the routes in ascending order, so the most urgent
    /// first.
    std::vector<std::int32_t> priorities_;
};

} // namespace samphire
