#include "upstream/control_parser.hpp"

#include <nlohmann/json.hpp>

namespace samphire::standin
{

namespace
{

using json = nlohmann::json;

constexpr double min_slowdown = 0.01;
constexpr double max_slowdown = 10000;

} // namespace

control_parse_result parse_control(std::string_view body)
{
    json const object = json::parse(body, nullptr, false);
    if (!object.is_object())
        return std::string("body: must be a JSON object");
    json const slowdown = object.value("slowdown", json(1.0));
    if (!slowdown.is_number() || slowdown.get<double>() < min_slowdown ||
        slowdown.get<double>() > max_slowdown)
        return std::string("slowdown: must be 0.01 to 10000");
    json const drain = object.value("drain", json(false));
    if (!drain.is_boolean())
        return std::string("drain: must be true or false");
    json const crash = object.value("crash", json(false));
    if (!crash.is_boolean())
        return std::string("crash: must be true or false");
    return upstream_control{
        .slowdown_ = slowdown.get<double>(),
        .drain_ = drain.get<bool>(),
        .crash_ = crash.get<bool>()};
}

} // namespace samphire::standin
