#include "policy/policy_names.hpp"

#include "base/name_rules.hpp"

#include <algorithm>
#include <cstddef>

namespace samphire
{

namespace
{

template <class Value, std::size_t Count>
std::optional<Value> parse_enum_name(
    std::array<std::string_view, Count> const& names, std::string_view text)
{
    auto const found = std::find(names.begin(), names.end(), text);
    if (found == names.end())
        return std::nullopt;
    return static_cast<Value>(found - names.begin());
}

} // namespace

std::string_view importance_text(importance value)
{
    return importance_names.at(static_cast<std::size_t>(value));
}

std::string_view work_class_text(work_class value)
{
    return work_class_names.at(static_cast<std::size_t>(value));
}

std::string called_route_text(called_route const& call)
{
    return call.service_.value() + "/" + call.route_.value();
}

std::optional<importance> parse_importance(std::string_view text)
{
    return parse_enum_name<importance>(importance_names, text);
}

std::optional<work_class> parse_work_class(std::string_view text)
{
    return parse_enum_name<work_class>(work_class_names, text);
}

std::optional<called_route> parse_called_route(std::string_view text)
{
    std::size_t const slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    std::string_view const service = text.substr(0, slash);
    std::string_view const route = text.substr(slash + 1);
    if (!is_valid_name(service) || !is_valid_route(route))
        return std::nullopt;
    return called_route{
        service_name(std::string(service)), route_name(std::string(route))};
}

} // namespace samphire
