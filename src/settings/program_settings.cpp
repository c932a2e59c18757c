#include "settings/program_settings.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>

namespace samphire
{

namespace
{

constexpr int exit_usage = 2;

char const* environment_variable(char const* name)
{
    return std::getenv(name);
}

} // namespace

std::optional<setting_values> read_program_settings(
    settings_parser const& parser,
    int argc,
    char const* const* argv,
    int& exit_code)
{
    return values_or_exit_code(
        parser.parse(argc, argv, &environment_variable), exit_code);
}

std::optional<setting_values>
values_or_exit_code(parsed_settings const& parsed, int& exit_code)
{
    if (auto const* const notice = std::get_if<settings_notice>(&parsed))
    {
        fmt::print("{}", notice->text_);
        exit_code = 0;
        return std::nullopt;
    }
    if (auto const* const errors =
            std::get_if<std::vector<setting_error>>(&parsed))
    {
        for (setting_error const& error : *errors)
            fmt::print(
                stderr,
                "level=error channel=settings event=setting_refused "
                "name=\"{}\" value=\"{}\" rule=\"{}\"\n",
                error.name_,
                error.value_,
                error.rule_);
        exit_code = exit_usage;
        return std::nullopt;
    }
    return std::get<setting_values>(parsed);
}

} // namespace samphire
