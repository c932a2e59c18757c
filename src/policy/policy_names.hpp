#pragma once

#include "policy/called_route.hpp"
#include "policy/importance.hpp"
#include "policy/work_class.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Names of the enumerators in policy documents and forms, indexed by numeric
/// value.
constexpr std::array<std::string_view, 4> importance_names{
    "background", "normal", "high", "critical"};
constexpr std::array<std::string_view, 2> work_class_names{"short", "long"};

std::string_view importance_text(importance value);
std::string_view work_class_text(work_class value);
/// Returns the text "service/route".
std::string called_route_text(called_route const& call);

std::optional<importance> parse_importance(std::string_view text);
std::optional<work_class> parse_work_class(std::string_view text);
/// Returns none when the text is not "service/route" with two valid names.
std::optional<called_route> parse_called_route(std::string_view text);

} // namespace samphire
