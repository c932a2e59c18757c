#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Decodes a submitted form (application/x-www-form-urlencoded) and finds its
/// fields by name.
class form_fields
{
public:
    explicit form_fields(std::string_view body);

    bool contains(std::string const& name) const;

    /// Returns the first value of the field; empty when the form has no such
    /// field.
    std::string value(std::string const& name) const;

    std::vector<std::string> values(std::string const& name) const;

private:
    absl::flat_hash_map<std::string, std::vector<std::string>> fields_;
};

} // namespace samphire
