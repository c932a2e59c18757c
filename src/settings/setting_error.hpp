#pragma once

#include <string>

namespace samphire
{

/// A setting whose value was refused.
struct setting_error
{
    std::string const name_{};
    std::string const value_{};
    std::string const rule_{};

    friend bool
    operator==(setting_error const&, setting_error const&) = default;
};

} // namespace samphire
