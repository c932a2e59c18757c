#pragma once

#include "settings/setting_kind.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// One setting of a program.
struct setting_definition
{
    /// Flag without the leading dashes, such as "peer-address".
    std::string_view const name_{};
    setting_kind const kind_{};
    std::string_view const default_{};
    /// Whether an empty value is refused.
    bool const required_{};
    /// Bounds of an integer, a decimal or a duration.
    std::int64_t const minimum_{};
    std::int64_t const maximum_{};
    std::string_view const help_{};

    friend bool
    operator==(setting_definition const&, setting_definition const&) = default;
};

} // namespace samphire
