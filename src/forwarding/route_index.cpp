#include "forwarding/route_index.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace samphire
{

route_index::route_index(std::shared_ptr<forwarding_policy const> policy)
    : policy_(std::move(policy))
{
    for (route_rule const& rule : policy_->routes_)
        routes_by_host_[absl::AsciiStrToLower(rule.host_)].emplace(
            rule.path_prefix_, &rule);
    for (route_rule const& rule : policy_->routes_)
        priorities_.push_back(rule.priority_);
    std::sort(priorities_.begin(), priorities_.end());
    priorities_.erase(
        std::unique(priorities_.begin(), priorities_.end()), priorities_.end());
    for (service_rule const& rule : policy_->services_)
        services_by_name_.emplace(rule.name_, &rule);
}

route_rule const*
route_index::find(std::string_view host, std::string_view path) const
{
    std::string_view const name = host.substr(0, host.find(':'));
    auto const found =
        routes_by_host_.find(absl::AsciiStrToLower(std::string(name)));
    if (found == routes_by_host_.end())
        return nullptr;
    std::string_view prefix = path.substr(0, path.find_first_of("?#"));
    // Path prefixes of routes end with a slash, so only the prefixes of the
    // path that end with a slash are looked up.
    for (auto slash = prefix.rfind('/'); slash != std::string_view::npos;
         slash = prefix.rfind('/'))
    {
        prefix = prefix.substr(0, slash + 1);
        auto const rule = found->second.find(std::string(prefix));
        if (rule != found->second.end())
            return rule->second;
        prefix.remove_suffix(1);
    }
    return nullptr;
}

double route_index::urgency(std::int32_t priority) const
{
    auto const later =
        std::upper_bound(priorities_.begin(), priorities_.end(), priority);
    return static_cast<double>(priorities_.end() - later);
}

service_rule const* route_index::service(service_name const& name) const
{
    auto const found = services_by_name_.find(name);
    return found == services_by_name_.end() ? nullptr : found->second;
}

} // namespace samphire
