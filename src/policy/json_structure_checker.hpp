#pragma once

#include "policy/policy_error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace samphire
{

/// Watches a JSON text while it is read, since the resulting value no longer
/// shows that a field was stated twice. Also drops values that are nested too
/// deep for recursive functions.
class json_structure
{
public:
    using json = nlohmann::json;

    /// Takes one event of the parser; false drops the value.
    bool on_event(int depth, json::parse_event_t event, json const& parsed);

    std::vector<policy_error> const& errors() const
    {
        return errors_;
    }

private:
    struct level
    {
        bool array_{};
        std::size_t index_{};
        std::string key_{};
        std::set<std::string> seen_{};
    };

    void start_value();
    std::string path() const;

    std::vector<level> levels_;
    std::vector<policy_error> errors_;
    bool too_deep_{};
};

} // namespace samphire
