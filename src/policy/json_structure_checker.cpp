#include "policy/json_structure.hpp"

#include <fmt/format.h>

namespace samphire
{

namespace
{

/// A valid document is nested 5 deep.
constexpr int depth_limit = 16;

} // namespace

bool json_structure::on_event(
    int depth, json::parse_event_t event, json const& parsed)
{
    using parse_event = json::parse_event_t;
    if (depth > depth_limit)
    {
        if (!too_deep_)
            errors_.push_back({path(), "", "must be nested at most 16 deep"});
        too_deep_ = true;
        return false;
    }
    switch (event)
    {
    case parse_event::object_start:
    case parse_event::array_start:
        start_value();
        levels_.push_back({.array_ = event == parse_event::array_start});
        break;
    case parse_event::object_end:
    case parse_event::array_end:
        levels_.pop_back();
        break;
    case parse_event::key:
        levels_.back().key_ = parsed.get<std::string>();
        if (!levels_.back().seen_.insert(levels_.back().key_).second)
            errors_.push_back({path(), "", "must be stated only once"});
        break;
    case parse_event::value:
        start_value();
        break;
    }
    return true;
}

void json_structure::start_value()
{
    if (!levels_.empty() && levels_.back().array_)
        ++levels_.back().index_;
}

std::string json_structure::path() const
{
    std::string text;
    for (level const& entered : levels_)
    {
        if (entered.array_)
            text += fmt::format("[{}]", entered.index_ - 1);
        else
            text += (text.empty() ? "" : ".") + entered.key_;
    }
    return text;
}

} // namespace samphire
