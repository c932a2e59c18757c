#pragma once

#include <string>
#include <vector>

namespace samphire
{

/// Arguments of main, split into COMMAND [OPERAND...] [FLAGS].
struct command_line
{
    std::string const command_{};
    std::string const operand_{};
    /// Operands after the first.
    std::vector<std::string> const further_operands_{};
    /// Name of the program, then the flags.
    std::vector<char const*> const program_and_flags_{};

    friend bool operator==(command_line const&, command_line const&) = default;
};

command_line split_command_line(int argc, char const* const* argv);

} // namespace samphire
