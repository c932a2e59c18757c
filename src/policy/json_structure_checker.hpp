#pragma once

#include "policy/policy_error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace samphire
{

/// Reports fields that are given twice in a JSON text. The check runs during
/// parsing, because the parsed value no longer shows duplicate fields. Also
/// discards values that are nested too deeply for recursive functions.
class json_structure_checker
{
public:
    using json = nlohmann::json;

    /// Callback of the JSON parser for each event. Returns false when the
    /// parser must discard the value.
    bool on_event(int depth, json::parse_event_t event, json const& parsed);

    std::vector<policy_error> const& errors() const
    {
        return errors_;
    }

private:
    struct container
    {
        bool is_array_{};
        /// Number of values of an array that the parser has started.
        std::size_t started_value_count_{};
        std::string current_key_{};
        std::set<std::string> keys_{};
    };

    void start_value();
    std::string current_path() const;

    std::vector<container> open_containers_;
    std::vector<policy_error> errors_;
    bool has_reported_excess_depth_{};
};

} // namespace samphire
