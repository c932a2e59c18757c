#include "policy/call_graph_rules.hpp"

#include "policy/policy_names.hpp"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <string>

namespace samphire
{

namespace
{

using repeatable_by_route = absl::flat_hash_map<std::string, bool>;

/// Returns the rule that a call by a repeatable route breaks; empty when the
/// call breaks none.
std::string
broken_rule(repeatable_by_route const& routes, std::string const& call)
{
    auto const found = routes.find(call);
    if (found == routes.end())
        return "must name a route of this document: other routes are "
               "unrepeatable, and the caller is repeatable";
    if (!found->second)
        return "must not be unrepeatable, because its caller is repeatable";
    return "";
}

} // namespace

std::vector<policy_error> check_call_graph(policy_document const& document)
{
    repeatable_by_route routes;
    for (service_policy const& service : document.services_)
        for (route_policy const& route : service.routes_)
            routes.emplace(
                called_route_text({service.service_, route.route_}),
                !route.unrepeatable_);
    std::vector<policy_error> errors;
    for (service_policy const& service : document.services_)
    {
        for (route_policy const& route : service.routes_)
        {
            if (route.unrepeatable_)
                continue;
            for (called_route const& call : route.calls_)
            {
                std::string const text = called_route_text(call);
                std::string rule = broken_rule(routes, text);
                if (!rule.empty())
                    errors.push_back(
                        {fmt::format(
                             "services[{}].routes[{}].calls",
                             service.service_.value(),
                             route.route_.value()),
                         fmt::format("\"{}\"", text),
                         std::move(rule)});
            }
        }
    }
    return errors;
}

} // namespace samphire
