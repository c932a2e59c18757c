#include "base/endpoint.hpp"

#include "base/text.hpp"

#include <fmt/format.h>

#include <vector>

namespace samphire
{

namespace
{

std::optional<std::uint32_t>
parse_bounded(std::string_view text, std::uint32_t max_value)
{
    auto const value = parse_number<std::uint32_t>(text);
    return value && *value <= max_value ? value : std::nullopt;
}

} // namespace

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    std::vector<std::string_view> const address_and_port = split(text, ':');
    if (address_and_port.size() != 2)
        return std::nullopt;
    std::vector<std::string_view> const bytes = split(address_and_port[0], '.');
    if (bytes.size() != 4)
        return std::nullopt;
    std::uint32_t address = 0;
    for (std::string_view const byte : bytes)
    {
        auto const value = parse_bounded(byte, 255);
        if (!value)
            return std::nullopt;
        address = (address << 8) | *value;
    }
    auto const port = parse_bounded(address_and_port[1], 65535);
    if (!port || *port == 0)
        return std::nullopt;
    return endpoint(address, static_cast<std::uint16_t>(*port));
}

std::string endpoint::text() const
{
    return fmt::format(
        "{}.{}.{}.{}:{}",
        address_ >> 24,
        (address_ >> 16) & 255,
        (address_ >> 8) & 255,
        address_ & 255,
        port_);
}

} // namespace samphire
