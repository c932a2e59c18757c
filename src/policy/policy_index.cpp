#include "policy/policy_index.hpp"

namespace samphire
{

policy_index::policy_index(std::shared_ptr<policy_document const> document)
    : document_(std::move(document))
{
    for (service_policy const& service : document_->services_)
    {
        for (route_policy const& route : service.routes_)
            routes_.emplace(key(service.service_, route.route_), &route);
    }
    leaving_.insert(document_->leaving_.begin(), document_->leaving_.end());
}

route_policy const&
policy_index::find(service_name const& service, route_name const& route) const
{
    static route_policy const safe_default;
    auto const found = routes_.find(key(service, route));
    return found == routes_.end() ? safe_default : *found->second;
}

bool policy_index::is_leaving(daemon_id const& daemon) const
{
    return leaving_.contains(daemon);
}

} // namespace samphire
