#include "load/route_mix_parser.hpp"

#include "base/text.hpp"

#include <optional>

namespace samphire
{

namespace
{

constexpr std::uint32_t max_weight = 1'000'000;

std::optional<route_importance> parse_importance(std::string_view text)
{
    if (text == "normal")
        return route_importance::normal;
    if (text == "important")
        return route_importance::important;
    return std::nullopt;
}

std::optional<route_length> parse_length(std::string_view text)
{
    if (text == "short")
        return route_length::short_work;
    if (text == "long")
        return route_length::long_work;
    return std::nullopt;
}

} // namespace

route_mix_result parse_route_mix(std::string_view text)
{
    constexpr std::size_t max_fields = 4;
    std::vector<route_share> mix;
    for (std::string_view const part : split(text, ','))
    {
        auto fields = split(part, ':');
        if (fields.size() > max_fields)
            return "routes: too many fields in " + std::string(part);
        std::string_view const defaults[] = {"", "1", "normal", "short"};
        for (std::size_t n = fields.size(); n < max_fields; ++n)
            fields.push_back(defaults[n]);
        if (split(fields[0], '/').size() < 2)
            return "routes: must be service/route in " + std::string(part);
        auto const weight = parse_number<std::uint32_t>(fields[1]);
        if (!weight || *weight == 0 || *weight > max_weight)
            return "routes: weight must be 1 to 1000000 in " +
                   std::string(part);
        auto const importance = parse_importance(fields[2]);
        if (!importance)
            return "routes: must be normal or important in " +
                   std::string(part);
        auto const length = parse_length(fields[3]);
        if (!length)
            return "routes: must be short or long in " + std::string(part);
        mix.push_back({std::string(fields[0]), *weight, *importance, *length});
    }
    return mix;
}

} // namespace samphire
