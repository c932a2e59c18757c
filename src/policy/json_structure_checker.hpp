#pragma once

#include "policy/policy_error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace samphire
{

/// Checks a JSON text while it is parsed, since the parsed value no longer
/// shows that a field was given twice. Also discards values that are nested too
/// deeply for recursive functions.
class json_structure_checker
{
public:
    using json = nlohmann::json;

    /// Callback of the JSON parser for each event; on false it discards the
    /// value.
    bool on_event(int depth, json::parse_event_t event, json const& parsed);

    std::vector<policy_error> const& errors() const
    {
        return errors_;
    }

private:
    struct container
    {
        bool is_array_{};
        std::size_t index_{};
        std::string current_key_{};
        std::set<std::string> keys_{};
    };

    void start_value();
    std::string path() const;

    std::vector<container> open_containers_;
    std::vector<policy_error> errors_;
    bool too_deep_{};
};

} // namespace samphire
