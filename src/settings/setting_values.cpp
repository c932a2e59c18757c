#include "settings/setting_values.hpp"

#include "base/text.hpp"

#include <utility>

namespace samphire
{

setting_values::setting_values(
    absl::flat_hash_map<std::string, std::string> texts)
    : texts_(std::move(texts))
{
}

std::string const& setting_values::text(std::string_view name) const
{
    return texts_.at(std::string(name));
}

std::int64_t setting_values::integer(std::string_view name) const
{
    return parse_number<std::int64_t>(text(name)).value_or(0);
}

double setting_values::decimal(std::string_view name) const
{
    return parse_number<double>(text(name)).value();
}

absl::Duration setting_values::duration(std::string_view name) const
{
    return absl::Milliseconds(integer(name));
}

endpoint setting_values::address(std::string_view name) const
{
    return endpoint::parse(text(name)).value_or(endpoint());
}

std::vector<endpoint> setting_values::address_list(std::string_view name) const
{
    std::vector<endpoint> result;
    for (std::string_view const part : split(text(name), ','))
    {
        if (auto const address = endpoint::parse(part))
            result.push_back(*address);
    }
    return result;
}

bool setting_values::toggle(std::string_view name) const
{
    return text(name) == "true";
}

} // namespace samphire
