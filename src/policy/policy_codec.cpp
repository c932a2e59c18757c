#include "policy/policy_codec.hpp"

#include "policy/call_graph_rules.hpp"
#include "policy/json_structure_checker.hpp"
#include "policy/policy_limits.hpp"
#include "policy/policy_names.hpp"
#include "policy/policy_reader.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphire
{

namespace
{

using json = nlohmann::json;
// This JSON type keeps the fields in the order in which the reference page
// describes them.
using ordered_json = nlohmann::ordered_json;

ordered_json to_json(route_policy const& route)
{
    std::vector<std::string> calls;
    for (called_route const& call : route.calls_)
        calls.push_back(called_route_text(call));
    std::sort(calls.begin(), calls.end());
    return {
        {"route", route.route_.value()},
        {"importance", importance_text(route.importance_)},
        {"unrepeatable", route.unrepeatable_},
        {"work", work_class_text(route.work_class_)},
        {"timeout_ms", absl::ToInt64Milliseconds(route.timeout_)},
        {"calls", calls}};
}

ordered_json sort_by(ordered_json list, char const* field)
{
    std::stable_sort(
        list.begin(),
        list.end(),
        [&](ordered_json const& left, ordered_json const& right)
        { return left[field] < right[field]; });
    return list;
}

ordered_json to_json(service_policy const& service)
{
    ordered_json routes = ordered_json::array();
    for (route_policy const& route : service.routes_)
        routes.push_back(to_json(route));
    return {
        {"service", service.service_.value()},
        {"routes", sort_by(std::move(routes), "route")}};
}

policy_error too_long_error(std::size_t bytes)
{
    return {
        "document",
        fmt::format("{} bytes", bytes),
        fmt::format(
            "must have at most {} bytes", policy_limits::max_document_bytes)};
}

} // namespace

policy_parse_result parse_policy(std::string_view text)
{
    if (text.size() > policy_limits::max_document_bytes)
        return std::vector<policy_error>{too_long_error(text.size())};
    json_structure_checker structure_checker;
    json const root = json::parse(
        text,
        [&](int depth, json::parse_event_t event, json& parsed)
        { return structure_checker.on_event(depth, event, parsed); },
        false);
    if (root.is_discarded())
        return std::vector<policy_error>{{"document", "", "must be JSON"}};
    policy_reader reader;
    policy_document document = reader.read(root);
    std::vector<policy_error> errors = structure_checker.errors();
    for (policy_error const& error : reader.errors())
        errors.push_back(error);
    // The call graph is checked only without other errors: a refused field has
    // its default value, which could cause a false error.
    if (errors.empty())
        errors = check_call_graph(document);
    if (!errors.empty())
        return errors;
    // The platform stores the canonical form, which contains every omitted
    // field and can therefore be longer than the text.
    std::size_t const canonical_bytes = format_policy(document).size();
    if (canonical_bytes > policy_limits::max_document_bytes)
        return std::vector<policy_error>{too_long_error(canonical_bytes)};
    return document;
}

std::string format_service(service_policy const& service)
{
    return to_json(service).dump();
}

std::string format_policy(policy_document const& document)
{
    ordered_json services = ordered_json::array();
    for (service_policy const& service : document.services_)
        services.push_back(to_json(service));
    std::vector<std::string> leaving;
    for (daemon_id const& daemon : document.leaving_)
        leaving.push_back(daemon.value());
    std::sort(leaving.begin(), leaving.end());
    ordered_json const root{
        {"format", policy_limits::format_version},
        {"revision", document.revision_.value()},
        {"retries",
         {{"extra_attempts", document.retries_.extra_attempts_},
          {"service_percent", document.retries_.service_percent_}}},
        {"services", sort_by(std::move(services), "service")},
        {"leaving", leaving}};
    return root.dump(2) + "\n";
}

} // namespace samphire
