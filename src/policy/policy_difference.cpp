#include "policy/policy_difference.hpp"

#include "policy/policy_names.hpp"

#include <fmt/format.h>

#include <map>

namespace samphire
{

namespace
{

using field_map = std::map<std::string, std::string>;

void add_route_fields(
    field_map& fields, std::string const& path, route_policy const& route)
{
    fields[path + ".importance"] = importance_text(route.importance_);
    fields[path + ".unrepeatable"] = route.unrepeatable_ ? "true" : "false";
    fields[path + ".work"] = work_class_text(route.work_class_);
    fields[path + ".timeout_ms"] =
        fmt::format("{}", absl::ToInt64Milliseconds(route.timeout_));
    for (called_route const& call : route.calls_)
        fields[fmt::format("{}.calls[{}]", path, called_route_text(call))] =
            "listed";
}

field_map fields_of(policy_document const& document)
{
    field_map fields;
    fields["revision"] = fmt::format("{}", document.revision_.value());
    fields["retries.extra_attempts"] =
        fmt::format("{}", document.retries_.extra_attempts_);
    fields["retries.service_percent"] =
        fmt::format("{}", document.retries_.service_percent_);
    for (service_policy const& service : document.services_)
    {
        std::string const path =
            fmt::format("services[{}]", service.service_.value());
        fields[path] = "listed";
        for (route_policy const& route : service.routes_)
            add_route_fields(
                fields,
                fmt::format("{}.routes[{}]", path, route.route_.value()),
                route);
    }
    for (daemon_id const& daemon : document.leaving_)
        fields[fmt::format("leaving[{}]", daemon.value())] = "listed";
    return fields;
}

std::string value_of(field_map const& fields, std::string const& field)
{
    auto const found = fields.find(field);
    return found == fields.end() ? std::string() : found->second;
}

} // namespace

std::vector<policy_change>
policy_difference(policy_document const& before, policy_document const& after)
{
    field_map const old_fields = fields_of(before);
    field_map const new_fields = fields_of(after);
    field_map all_fields = old_fields;
    all_fields.insert(new_fields.begin(), new_fields.end());
    std::vector<policy_change> changes;
    for (auto const& [field, value] : all_fields)
    {
        policy_change const change{
            field, value_of(old_fields, field), value_of(new_fields, field)};
        if (change.old_value_ != change.new_value_)
            changes.push_back(change);
    }
    return changes;
}

std::string format_difference(std::vector<policy_change> const& changes)
{
    std::string text;
    for (policy_change const& change : changes)
        text += fmt::format(
            "{}: {} -> {}\n",
            change.field_,
            change.old_value_.empty() ? "(absent)" : change.old_value_,
            change.new_value_.empty() ? "(absent)" : change.new_value_);
    return text;
}

} // namespace samphire
