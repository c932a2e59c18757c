#pragma once

#include "base/endpoint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Validated values of all settings of a program. Each accessor takes the name
/// of a setting of its kind.
class setting_values
{
public:
    explicit setting_values(
        absl::flat_hash_map<std::string, std::string> texts);

    std::string const& text(std::string_view name) const;
    std::int64_t integer(std::string_view name) const;
    double decimal(std::string_view name) const;
    absl::Duration duration(std::string_view name) const;
    endpoint address(std::string_view name) const;
    std::vector<endpoint> address_list(std::string_view name) const;
    bool toggle(std::string_view name) const;

private:
    absl::flat_hash_map<std::string, std::string> texts_;
};

} // namespace samphire
