#include "ctl/command_line.hpp"

#include <string_view>
#include <utility>

namespace samphire
{

command_line split_command_line(int argc, char const* const* argv)
{
    std::vector<char const*> const words(argv, argv + argc);
    std::vector<char const*> flags(words.begin(), words.begin() + (argc > 0));
    std::size_t next = flags.size();
    auto const take = [&]() -> std::string
    {
        if (next >= words.size() ||
            std::string_view(words[next]).starts_with('-'))
            return {};
        return words[next++];
    };
    std::string const command = take();
    std::string const operand = command.empty() ? std::string() : take();
    std::vector<std::string> more;
    for (std::string word = take(); !word.empty(); word = take())
        more.push_back(std::move(word));
    flags.insert(
        flags.end(),
        words.begin() + static_cast<std::ptrdiff_t>(next),
        words.end());
    return {command, operand, more, flags};
}

} // namespace samphire
