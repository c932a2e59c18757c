#include "ctl/command_line.hpp"

#include <string_view>
#include <utility>

namespace samphire
{

command_line split_command_line(int argc, char const* const* argv)
{
    std::vector<char const*> const words(argv, argv + argc);
    std::vector<char const*> flags(words.begin(), words.begin() + (argc > 0));
    std::size_t next_index = flags.size();
    auto const take_word = [&]() -> std::string
    {
        if (next_index >= words.size() ||
            std::string_view(words[next_index]).starts_with('-'))
            return {};
        return words[next_index++];
    };
    std::string const command = take_word();
    std::string const operand = command.empty() ? std::string() : take_word();
    std::vector<std::string> further_operands;
    for (std::string word = take_word(); !word.empty(); word = take_word())
        further_operands.push_back(std::move(word));
    flags.insert(
        flags.end(),
        words.begin() + static_cast<std::ptrdiff_t>(next_index),
        words.end());
    return {command, operand, further_operands, flags};
}

} // namespace samphire
