#include "console/policy_form_codec.hpp"

#include "base/text.hpp"
#include "policy/policy_names.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace samphire
{

namespace
{

using json = nlohmann::ordered_json;

std::vector<std::string> split_words(std::string text)
{
    std::replace_if(
        text.begin(),
        text.end(),
        [](char c) { return c == '\n' || c == '\t' || c == ','; },
        ' ');
    std::vector<std::string> result;
    for (std::string_view const word : split(text, ' '))
    {
        if (!word.empty())
            result.emplace_back(word);
    }
    return result;
}

std::string
join_texts(std::vector<std::string> const& lines, char const* separator)
{
    return fmt::format("{}", fmt::join(lines, separator));
}

// Converts the text to a JSON number. Text that is not a number stays a string,
// so that the checks of the document refuse it and report its field and rule.
json number_or_text(std::string const& text)
{
    auto const value = parse_number<std::uint64_t>(trim(text));
    return value ? json(*value) : json(text);
}

// Converts "true" and "false" to a JSON boolean. Other text stays a string, so
// that the checks of the document refuse it and report its field and rule.
json boolean_or_text(std::string const& text)
{
    return text == "true" || text == "false" ? json(text == "true")
                                             : json(text);
}

json to_json(route_form const& route)
{
    return {
        {"route", route.route_},
        {"importance", route.importance_},
        {"unrepeatable", boolean_or_text(route.unrepeatable_)},
        {"work", route.work_},
        {"timeout_ms", number_or_text(route.timeout_ms_)},
        {"calls", split_words(route.calls_)}};
}

json& find_or_add_service(json& services, std::string const& name)
{
    for (json& service : services)
    {
        if (service["service"] == name)
            return service;
    }
    services.push_back({{"service", name}, {"routes", json::array()}});
    return services.back();
}

json to_json(policy_form const& form)
{
    json services = json::array();
    for (std::string const& name : form.services_)
        find_or_add_service(services, name);
    for (route_form const& route : form.routes_)
    {
        if (!route.remove_)
            find_or_add_service(services, route.service_)["routes"].push_back(
                to_json(route));
    }
    return {
        {"format", 1},
        {"revision", number_or_text(form.revision_)},
        {"retries",
         {{"extra_attempts", number_or_text(form.extra_attempts_)},
          {"service_percent", number_or_text(form.service_percent_)}}},
        {"services", services},
        {"leaving", split_words(form.leaving_)}};
}

/// Replaces list positions in a field path by names:
/// "services[1].routes[0].work" becomes "services[slots].routes[list].work".
std::string
replace_positions_by_names(std::string const& field, json const& document)
{
    std::string result;
    json const* list = &document["services"];
    for (std::string_view const path_element : split(field, '.'))
    {
        std::string_view const name =
            path_element.substr(0, path_element.find('['));
        bool const is_list = name == "services" || name == "routes";
        std::size_t const position =
            path_element.ends_with(']') && is_list
                ? parse_number<std::size_t>(
                      path_element.substr(
                          name.size() + 1,
                          path_element.size() - name.size() - 2))
                      .value_or(list->size())
                : list->size();
        result += result.empty() ? "" : ".";
        if (position >= list->size())
        {
            result += path_element;
            continue;
        }
        json const& entry = (*list)[position];
        json const& text = entry[name == "services" ? "service" : "route"];
        result += fmt::format("{}[{}]", name, text.get<std::string>());
        if (name == "services")
            list = &entry["routes"];
    }
    return result;
}

route_form
make_route_form(service_name const& service, route_policy const& route)
{
    std::vector<std::string> calls;
    for (called_route const& call : route.calls_)
        calls.push_back(called_route_text(call));
    return {
        .service_ = service.value(),
        .route_ = route.route_.value(),
        .importance_ = std::string(importance_text(route.importance_)),
        .unrepeatable_ = route.unrepeatable_ ? "true" : "false",
        .work_ = std::string(work_class_text(route.work_class_)),
        .timeout_ms_ =
            fmt::format("{}", absl::ToInt64Milliseconds(route.timeout_)),
        .calls_ = join_texts(calls, " ")};
}

route_form read_route_form(form_fields const& fields, std::string const& prefix)
{
    auto const field = [&](char const* name)
    {
        return std::string(trim(fields.value(prefix + name)));
    };
    return {
        .service_ = field("service"),
        .route_ = field("route"),
        .importance_ = field("importance"),
        .unrepeatable_ = field("unrepeatable"),
        .work_ = field("work"),
        .timeout_ms_ = field("timeout_ms"),
        .calls_ = field("calls"),
        .remove_ = fields.contains(prefix + "remove")};
}

std::string json_text(json const& document, int indent)
{
    return document.dump(indent, ' ', false, json::error_handler_t::replace);
}

} // namespace

policy_form make_policy_form(
    policy_document const& document,
    object_version base_version,
    revision next_revision)
{
    std::vector<std::string> services;
    std::vector<route_form> routes;
    for (service_policy const& service : document.services_)
    {
        services.push_back(service.service_.value());
        for (route_policy const& route : service.routes_)
            routes.push_back(make_route_form(service.service_, route));
    }
    std::vector<std::string> leaving;
    for (daemon_id const& daemon : document.leaving_)
        leaving.push_back(daemon.value());
    return {
        .base_version_ = base_version,
        .revision_ = fmt::format("{}", next_revision.value()),
        .extra_attempts_ = fmt::format("{}", document.retries_.extra_attempts_),
        .service_percent_ =
            fmt::format("{}", document.retries_.service_percent_),
        .services_ = services,
        .routes_ = routes,
        .leaving_ = join_texts(leaving, "\n")};
}

policy_form read_policy_form(form_fields const& fields)
{
    std::vector<route_form> routes;
    for (std::size_t index = 0;; ++index)
    {
        std::string const prefix = fmt::format("route.{}.", index);
        if (!fields.contains(prefix + "service"))
            break;
        route_form const route = read_route_form(fields, prefix);
        // The form has rows for new routes; skips those that the operator left
        // empty.
        if (!route.service_.empty() || !route.route_.empty())
            routes.push_back(route);
    }
    return {
        .base_version_ = object_version(
            parse_number<std::uint64_t>(fields.value("base_version"))
                .value_or(0)),
        .revision_ = fields.value("revision"),
        .extra_attempts_ = fields.value("extra_attempts"),
        .service_percent_ = fields.value("service_percent"),
        .services_ = fields.values("listed_service"),
        .routes_ = routes,
        .leaving_ = fields.value("leaving")};
}

policy_parse_result parse_policy_form(policy_form const& form)
{
    json const document = to_json(form);
    policy_parse_result parsed = parse_policy(json_text(document, -1));
    if (parsed)
        return parsed;
    std::vector<policy_error> errors;
    for (policy_error const& error : parsed.error())
        errors.push_back(
            {replace_positions_by_names(error.field_, document),
             error.value_,
             error.rule_});
    return errors;
}

std::string policy_form_text(policy_form const& form)
{
    return json_text(to_json(form), 2) + "\n";
}

} // namespace samphire
