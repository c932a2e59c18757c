#pragma once

#include <string>
#include <vector>

namespace samphire
{

/// COMMAND [OPERAND...] [FLAGS], as main received them.
struct command_line
{
    std::string const command_{};
    std::string const operand_{};
    /// Further operands.
    std::vector<std::string> const more_{};
    /// The program's name and the flags.
    std::vector<char const*> const flags_{};

    friend bool operator==(command_line const&, command_line const&) = default;
};

command_line split_command_line(int argc, char const* const* argv);

} // namespace samphire
