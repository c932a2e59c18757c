#include "platform/fault_parser.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace samphire::standin
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t max_delay_ms = 3'600'000;
constexpr std::int64_t max_percent = 100;
constexpr std::int64_t max_lost_answer_count = 1'000'000;

std::optional<std::int64_t>
read_number(json const& object, char const* field, std::int64_t maximum)
{
    auto const found = object.find(field);
    if (found == object.end())
        return 0;
    if (!found->is_number_integer())
        return std::nullopt;
    auto const value = found->get<std::int64_t>();
    return value >= 0 && value <= maximum ? std::optional(value) : std::nullopt;
}

std::optional<outage_kind> read_outage(json const& object)
{
    auto const found = object.find("outage");
    if (found == object.end() || *found == "none")
        return outage_kind::none;
    if (*found == "refuse")
        return outage_kind::refuse;
    if (*found == "silent")
        return outage_kind::silent;
    return std::nullopt;
}

} // namespace

fault_parse_result parse_faults(std::string_view body)
{
    json const object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return std::string("body: must be a JSON object");
    auto const outage = read_outage(object);
    if (!outage)
        return std::string("outage: must be none, refuse or silent");
    auto const delay = read_number(object, "delay_ms", max_delay_ms);
    if (!delay)
        return std::string("delay_ms: must be 0 to 3600000");
    auto const percent = read_number(object, "lost_percent", max_percent);
    if (!percent)
        return std::string("lost_percent: must be 0 to 100");
    auto const count = read_number(object, "lost_count", max_lost_answer_count);
    if (!count)
        return std::string("lost_count: must be 0 to 1000000");
    return fault_plan{
        .outage_ = *outage,
        .answer_delay_ = absl::Milliseconds(*delay),
        .lost_answer_percent_ = static_cast<std::uint32_t>(*percent),
        .lost_answer_count_ = static_cast<std::uint32_t>(*count)};
}

} // namespace samphire::standin
