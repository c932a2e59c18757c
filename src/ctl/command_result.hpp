#pragma once

#include "ctl/exit_code.hpp"

#include <string>

namespace samphire
{

/// What a command prints and how the program ends.
struct command_result
{
    exit_code const code_{exit_code::done};
    /// Text for standard output.
    std::string const output_{};
    /// Text for standard error.
    std::string const errors_{};

    friend bool
    operator==(command_result const&, command_result const&) = default;
};

} // namespace samphire
