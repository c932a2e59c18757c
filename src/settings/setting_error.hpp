#pragma once

#include <string>

namespace samphire
{

/// A refused value of a setting and the rule that it breaks.
struct setting_error
{
    std::string const name_{};
    std::string const value_{};
    std::string const rule_{};

    friend bool
    operator==(setting_error const&, setting_error const&) = default;
};

} // namespace samphire
