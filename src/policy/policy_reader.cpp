#include "policy/policy_reader.hpp"

#include "base/name_rules.hpp"
#include "policy/policy_limits.hpp"
#include "policy/policy_names.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace samphire
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t max_excerpt_bytes = 80;
constexpr char const* name_rule = "must be 1 to 128 of a-z A-Z 0-9 - _ .";
constexpr char const* route_rule =
    "must be parts of a-z A-Z 0-9 - _ . joined by /, at most 128 bytes";
constexpr char const* unique_rule = "must be listed only once";

std::string join_path(std::string const& path, std::string_view field)
{
    return path.empty() ? std::string(field)
                        : fmt::format("{}.{}", path, field);
}

std::string excerpt(json const& value)
{
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_excerpt_bytes)
        text = text.substr(0, max_excerpt_bytes - 3) + "...";
    return text;
}

json const* find_field(json const& object, char const* field)
{
    auto const found = object.find(field);
    return found == object.end() ? nullptr : &*found;
}

std::string_view string_or_empty(json const* value)
{
    return value && value->is_string()
               ? std::string_view(value->get_ref<std::string const&>())
               : std::string_view();
}

/// Returns a copy of the items, sorted by name. The members of the items are
/// constant, so the items cannot be sorted in place.
template <class Item, class Name>
std::vector<Item> sorted_by(std::vector<Item> const& items, Name name)
{
    std::vector<Item const*> order;
    for (Item const& item : items)
        order.push_back(&item);
    std::stable_sort(
        order.begin(),
        order.end(),
        [&](Item const* left, Item const* right)
        { return name(*left) < name(*right); });
    std::vector<Item> result;
    for (Item const* const item : order)
        result.push_back(*item);
    return result;
}

} // namespace

void policy_reader::add_error(
    std::string field, json const* value, std::string rule)
{
    errors_.push_back(
        {std::move(field),
         value ? excerpt(*value) : std::string(),
         std::move(rule)});
}

policy_document policy_reader::read(json const& root)
{
    if (!check_object(
            root, "", {"format", "revision", "retries", "services", "leaving"}))
        return {};
    read_number(
        root,
        "",
        "format",
        policy_limits::format_version,
        policy_limits::format_version,
        0);
    revision const number(
        read_number(root, "", "revision", 1, policy_limits::max_revision, 0));
    std::vector<service_policy> services;
    std::set<service_name> names;
    for (json const& service_json :
         read_list(root, "", "services", policy_limits::max_services))
    {
        std::string const path = fmt::format("services[{}]", services.size());
        services.push_back(read_service(service_json, path));
        service_name const& name = services.back().service_;
        if (!name.empty() && !names.insert(name).second)
            add_error(path + ".service", &service_json["service"], unique_rule);
    }
    return {
        .revision_ = number,
        .retries_ = read_retries(root),
        .services_ = sorted_by(
            services, [](service_policy const& s) { return s.service_; }),
        .leaving_ = read_leaving_daemons(root)};
}

retry_limits policy_reader::read_retries(json const& root)
{
    retry_limits const defaults;
    json const* const found = find_field(root, "retries");
    if (!found ||
        !check_object(*found, "retries", {"extra_attempts", "service_percent"}))
        return defaults;
    auto const read = [&](char const* field,
                          std::uint64_t maximum,
                          std::uint32_t default_value)
    {
        return static_cast<std::uint32_t>(
            read_number(*found, "retries", field, 0, maximum, default_value));
    };
    return {
        .extra_attempts_ = read(
            "extra_attempts",
            policy_limits::max_extra_attempts,
            defaults.extra_attempts_),
        .service_percent_ = read(
            "service_percent",
            policy_limits::max_service_percent,
            defaults.service_percent_)};
}

service_policy
policy_reader::read_service(json const& service_json, std::string const& path)
{
    if (!check_object(service_json, path, {"service", "routes"}))
        return {};
    service_name const name(read_required_text(
        service_json, path, "service", &is_valid_name, name_rule));
    std::vector<route_policy> routes;
    std::set<route_name> names;
    for (json const& route_json : read_list(
             service_json,
             path,
             "routes",
             policy_limits::max_routes_per_service))
    {
        std::string const route_path =
            fmt::format("{}.routes[{}]", path, routes.size());
        routes.push_back(read_route(route_json, route_path));
        route_name const& route = routes.back().route_;
        if (!route.empty() && !names.insert(route).second)
            add_error(route_path + ".route", &route_json["route"], unique_rule);
    }
    return {
        .service_ = name,
        .routes_ =
            sorted_by(routes, [](route_policy const& r) { return r.route_; })};
}

route_policy
policy_reader::read_route(json const& route_json, std::string const& path)
{
    if (!check_object(
            route_json,
            path,
            {"route",
             "importance",
             "unrepeatable",
             "work",
             "timeout_ms",
             "calls"}))
        return {};
    route_policy const defaults;
    route_name const name(read_required_text(
        route_json, path, "route", &is_valid_route, route_rule));
    json const* const importance_field = find_field(route_json, "importance");
    auto const parsed_importance =
        parse_importance(string_or_empty(importance_field));
    if (importance_field && !parsed_importance)
        add_error(
            path + ".importance",
            importance_field,
            "must be background, normal, high or critical");
    json const* const unrepeatable_field =
        find_field(route_json, "unrepeatable");
    if (unrepeatable_field && !unrepeatable_field->is_boolean())
        add_error(
            path + ".unrepeatable",
            unrepeatable_field,
            "must be true or false");
    json const* const work_field = find_field(route_json, "work");
    auto const parsed_work_class =
        parse_work_class(string_or_empty(work_field));
    if (work_field && !parsed_work_class)
        add_error(path + ".work", work_field, "must be short or long");
    std::uint64_t const timeout = read_number(
        route_json,
        path,
        "timeout_ms",
        1,
        policy_limits::max_timeout_ms,
        static_cast<std::uint64_t>(
            absl::ToInt64Milliseconds(defaults.timeout_)));
    return {
        .route_ = name,
        .importance_ = parsed_importance.value_or(defaults.importance_),
        .unrepeatable_ = unrepeatable_field && unrepeatable_field->is_boolean()
                             ? unrepeatable_field->get<bool>()
                             : defaults.unrepeatable_,
        .work_class_ = parsed_work_class.value_or(defaults.work_class_),
        .timeout_ = absl::Milliseconds(static_cast<std::int64_t>(timeout)),
        .calls_ = read_calls(route_json, path)};
}

std::vector<called_route>
policy_reader::read_calls(json const& route_json, std::string const& path)
{
    std::set<called_route> calls;
    std::size_t index = 0;
    for (json const& item : read_list(
             route_json, path, "calls", policy_limits::max_calls_per_route))
    {
        std::string const field = fmt::format("{}.calls[{}]", path, index++);
        auto const call = parse_called_route(string_or_empty(&item));
        if (!call)
            add_error(field, &item, "must be service/route");
        else if (!calls.insert(*call).second)
            add_error(field, &item, unique_rule);
    }
    return {calls.begin(), calls.end()};
}

std::vector<daemon_id> policy_reader::read_leaving_daemons(json const& root)
{
    std::set<daemon_id> leaving;
    std::size_t index = 0;
    for (json const& item :
         read_list(root, "", "leaving", policy_limits::max_leaving_daemons))
    {
        std::string const field = fmt::format("leaving[{}]", index++);
        std::string const name(string_or_empty(&item));
        if (!is_valid_name(name))
            add_error(field, &item, name_rule);
        else if (!leaving.insert(daemon_id(name)).second)
            add_error(field, &item, unique_rule);
    }
    return {leaving.begin(), leaving.end()};
}

bool policy_reader::check_object(
    json const& value, std::string const& path, field_names allowed)
{
    if (!value.is_object())
    {
        add_error(
            path.empty() ? "document" : path, &value, "must be a JSON object");
        return false;
    }
    for (auto const& [name, field] : value.items())
    {
        if (std::find(allowed.begin(), allowed.end(), name) == allowed.end())
            add_error(join_path(path, name), &field, "is not a known field");
    }
    return true;
}

std::uint64_t policy_reader::read_number(
    json const& object,
    std::string const& path,
    char const* field,
    std::uint64_t minimum,
    std::uint64_t maximum,
    std::uint64_t default_value)
{
    json const* const found = find_field(object, field);
    if (!found && default_value >= minimum)
        return default_value;
    if (found && found->is_number_unsigned())
    {
        auto const value = found->get<std::uint64_t>();
        if (value >= minimum && value <= maximum)
            return value;
    }
    add_error(
        join_path(path, field),
        found,
        minimum == maximum
            ? fmt::format("must be {}", minimum)
            : fmt::format(
                  "must be a whole number from {} to {}", minimum, maximum));
    return default_value;
}

std::string policy_reader::read_required_text(
    json const& object,
    std::string const& path,
    char const* field,
    bool (*is_allowed)(std::string_view),
    char const* rule)
{
    json const* const found = find_field(object, field);
    std::string text(string_or_empty(found));
    if (is_allowed(text))
        return text;
    add_error(join_path(path, field), found, rule);
    return {};
}

std::vector<json> policy_reader::read_list(
    json const& object,
    std::string const& path,
    char const* field,
    std::size_t limit)
{
    json const* const found = find_field(object, field);
    if (!found)
        return {};
    if (!found->is_array() || found->size() > limit)
    {
        add_error(
            join_path(path, field),
            found,
            fmt::format("must be a list of at most {} entries", limit));
        return {};
    }
    return *found;
}

} // namespace samphire
