#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Fields of a submitted form (application/x-www-form-urlencoded).
class form_fields
{
public:
    explicit form_fields(std::string_view body);

    bool contains(std::string const& name) const;

    /// The first value of that name; empty when there is none.
    std::string value(std::string const& name) const;

    std::vector<std::string> values(std::string const& name) const;

private:
    absl::flat_hash_map<std::string, std::vector<std::string>> fields_;
};

} // namespace samphire
