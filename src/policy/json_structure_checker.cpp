#include "policy/json_structure_checker.hpp"

#include <fmt/format.h>

namespace samphire
{

namespace
{

/// Maximum nesting depth; a valid policy document is nested 5 deep.
constexpr int max_depth = 16;

} // namespace

bool json_structure_checker::on_event(
    int depth, json::parse_event_t event, json const& parsed)
{
    using parse_event = json::parse_event_t;
    if (depth > max_depth)
    {
        if (!has_reported_excess_depth_)
            errors_.push_back(
                {current_path(), "", "must be nested at most 16 deep"});
        has_reported_excess_depth_ = true;
        return false;
    }
    switch (event)
    {
    case parse_event::object_start:
    case parse_event::array_start:
        start_value();
        open_containers_.push_back(
            {.is_array_ = event == parse_event::array_start});
        break;
    case parse_event::object_end:
    case parse_event::array_end:
        open_containers_.pop_back();
        break;
    case parse_event::key:
        open_containers_.back().current_key_ = parsed.get<std::string>();
        if (!open_containers_.back()
                 .keys_.insert(open_containers_.back().current_key_)
                 .second)
            errors_.push_back({current_path(), "", "must be stated only once"});
        break;
    case parse_event::value:
        start_value();
        break;
    }
    return true;
}

void json_structure_checker::start_value()
{
    if (!open_containers_.empty() && open_containers_.back().is_array_)
        ++open_containers_.back().started_value_count_;
}

std::string json_structure_checker::current_path() const
{
    std::string text;
    for (container const& open_container : open_containers_)
    {
        if (open_container.is_array_)
            text +=
                fmt::format("[{}]", open_container.started_value_count_ - 1);
        else
            text += (text.empty() ? "" : ".") + open_container.current_key_;
    }
    return text;
}

} // namespace samphire
