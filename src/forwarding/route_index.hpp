#pragma once

#include "forwarding/forwarding_policy.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace samphire
{

/// Finds the route of a request; immutable.
class route_index
{
public:
    explicit route_index(std::shared_ptr<forwarding_policy const> policy);

    /// The route of `host` with the longest prefix that begins `path`; null
    /// when there is none. A port in `host` is ignored.
    route_rule const* find(std::string_view host, std::string_view path) const;

    service_rule const* service(service_name const& name) const;

    /// 0 for the least urgent priority that a route has, and one more for each
    /// that is more urgent.
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
    /// Routes of a host by prefix.
    absl::flat_hash_map<
        std::string,
        absl::flat_hash_map<std::string, route_rule const*>>
        hosts_;
    absl::flat_hash_map<service_name, service_rule const*> services_;
    /// Ascending, the most urgent first.
    std::vector<std::int32_t> priorities_;
};

} // namespace samphire
