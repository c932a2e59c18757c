#include "relay/settings_file.hpp"

#include "base/text.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace samphire
{

namespace
{

using variable_map = absl::flat_hash_map<std::string, std::string>;

variable_map read_variables(std::string const& text)
{
    variable_map result;
    for (std::string_view const raw_line : split(text, '\n'))
    {
        std::string_view const line = trim(raw_line);
        auto const equals = line.find('=');
        if (line.empty() || line.front() == '#' ||
            equals == std::string_view::npos)
            continue;
        result.insert_or_assign(
            variable_name(trim(line.substr(0, equals))),
            std::string(trim(line.substr(equals + 1))));
    }
    return result;
}

// The variables are static because settings_parser takes a plain function for
// look-ups. They are not synchronized: one thread reads the settings at a time.
variable_map& current_variables()
{
    static variable_map variables;
    return variables;
}

char const* find_variable(char const* name)
{
    if (char const* const set = std::getenv(name))
        return set;
    auto const found = current_variables().find(name);
    return found == current_variables().end() ? nullptr : found->second.c_str();
}

} // namespace

parsed_settings settings_file::parse(
    settings_parser const& parser, int argc, char const* const* argv) const
{
    current_variables() = read_variables(text());
    return parser.parse(argc, argv, &find_variable);
}

std::string settings_file::text() const
{
    if (path_.empty())
        return {};
    std::ifstream file(path_);
    std::ostringstream text;
    text << file.rdbuf();
    return std::move(text).str();
}

} // namespace samphire
