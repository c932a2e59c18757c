#pragma once

#include "policy/policy_document.hpp"
#include "policy/policy_error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Reads the fields of a policy document and collects an error for every broken
/// rule. A refused field has its default value in the result.
class policy_reader
{
public:
    using json = nlohmann::json;

    policy_document read(json const& root);

    std::vector<policy_error> const& errors() const
    {
        return errors_;
    }

    void add_error(std::string field, json const* value, std::string rule);

private:
    using field_names = std::initializer_list<std::string_view>;

    retry_limits read_retries(json const& root);
    service_policy
    read_service(json const& service_json, std::string const& path);
    route_policy read_route(json const& route_json, std::string const& path);
    std::vector<called_route>
    read_calls(json const& route_json, std::string const& path);
    std::vector<daemon_id> read_leaving_daemons(json const& root);

    /// Adds an error for an unknown field, or when the value is not an object.
    /// Returns false only when the value is not an object.
    bool check_object(
        json const& value, std::string const& path, field_names allowed);
    /// Reads a number. Returns `default_value` when the field is absent or
    /// refused. The field is required when `default_value` is below `minimum`.
    std::uint64_t read_number(
        json const& object,
        std::string const& path,
        char const* field,
        std::uint64_t minimum,
        std::uint64_t maximum,
        std::uint64_t default_value);
    std::string read_required_text(
        json const& object,
        std::string const& path,
        char const* field,
        bool (*is_allowed)(std::string_view),
        char const* rule);
    /// Returns the entries of the list `field`; empty when the field is absent
    /// or refused.
    std::vector<json> read_list(
        json const& object,
        std::string const& path,
        char const* field,
        std::size_t limit);

    std::vector<policy_error> errors_;
};

} // namespace samphire
