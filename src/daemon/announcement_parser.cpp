#include "daemon/announcement_parser.hpp"

#include "base/name_rules.hpp"
#include "document/json_document.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t max_count = 100'000;

std::optional<std::uint32_t>
read_count(json const& object, char const* field, std::int64_t minimum)
{
    auto const found = object.find(field);
    if (found == object.end())
        return minimum == 0 ? std::optional<std::uint32_t>(0) : std::nullopt;
    if (!found->is_number_integer())
        return std::nullopt;
    auto const value = found->get<std::int64_t>();
    if (value < minimum || value > max_count)
        return std::nullopt;
    return static_cast<std::uint32_t>(value);
}

std::string read_text(json const& object, char const* field)
{
    auto const found = object.find(field);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

} // namespace

announcement_parse_result parse_announcement(std::string_view body)
{
    json const object = try_parse_document(body);
    if (!object.is_object())
        return request_error{"body", "must be a JSON object"};
    std::string const service = read_text(object, "service");
    // Rejects a service name with other characters than is_valid_name() allows:
    // callers put the service name into the request path, so no call could
    // reach such a service.
    if (!is_valid_name(service))
        return request_error{
            "service", "must be 1 to 128 of a-z A-Z 0-9 - _ ."};
    auto const address = endpoint::parse(read_text(object, "address"));
    if (!address)
        return request_error{"address", "must be a.b.c.d:port"};
    auto const slots = read_count(object, "slots", 1);
    if (!slots)
        return request_error{
            "slots", "must be a whole number from 1 to 100000"};
    auto const connections = read_count(object, "connections", 0);
    if (!connections)
        return request_error{
            "connections", "must be a whole number from 0 to 100000"};
    auto const load = read_count(object, "load", 0);
    if (!load)
        return request_error{"load", "must be a whole number from 0 to 100000"};
    auto const cold = object.find("cold");
    if (cold != object.end() && !cold->is_boolean())
        return request_error{"cold", "must be true or false"};
    return upstream_announcement{
        .service_ = service_name(service),
        .endpoint_ = *address,
        .slots_ = *slots,
        .connections_ = *connections,
        .reported_load_ = *load,
        .is_warming_up_ = cold != object.end() && cold->get<bool>()};
}

} // namespace samphire
