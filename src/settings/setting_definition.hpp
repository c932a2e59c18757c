#pragma once

#include "settings/setting_kind.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// One node of a program's settings tree.
struct setting_definition
{
    /// Flag without the dashes; "section-name" places it in the tree.
    std::string_view const name_{};
    setting_kind const kind_{};
    std::string_view const default_{};
    /// Whether an empty value is refused.
    bool const required_{};
    /// Bounds of an integer or a duration.
    std::int64_t const minimum_{};
    std::int64_t const maximum_{};
    std::string_view const help_{};

    friend bool
    operator==(setting_definition const&, setting_definition const&) = default;
};

} // namespace samphire
