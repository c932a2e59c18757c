#pragma once

#include "base/daemon_id.hpp"
#include "policy/policy_document.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <memory>
#include <utility>

namespace samphire
{

/// Finds route policies of one policy document by service and route.
class policy_index
{
public:
    explicit policy_index(std::shared_ptr<policy_document const> document);

    policy_document const& document() const
    {
        return *document_;
    }

    /// Returns the policy of the route; the safe default for a route that the
    /// document does not name.
    route_policy const&
    find(service_name const& service, route_name const& route) const;

    bool is_leaving(daemon_id const& daemon) const;

private:
    using key = std::pair<service_name, route_name>;

    std::shared_ptr<policy_document const> document_;
    absl::flat_hash_map<key, route_policy const*> routes_;
    absl::flat_hash_set<daemon_id> leaving_;
};

} // namespace samphire
