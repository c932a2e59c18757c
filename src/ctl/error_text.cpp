#include "ctl/error_text.hpp"

#include <fmt/format.h>

namespace samphire
{

std::string format_policy_errors(std::vector<policy_error> const& errors)
{
    std::string text;
    for (policy_error const& error : errors)
        text += fmt::format(
            "{}: {}{}\n",
            error.field_,
            error.rule_,
            error.value_.empty() ? ""
                                 : fmt::format(" (found {})", error.value_));
    return text;
}

} // namespace samphire
