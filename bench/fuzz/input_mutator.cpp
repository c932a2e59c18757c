#include "fuzz/input_mutator.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <string_view>

namespace samphire::bench
{

namespace
{

constexpr std::size_t max_input_bytes = 1u << 20;
constexpr std::size_t max_mutations = 4;
constexpr std::size_t deep_levels = 50'000;
constexpr std::size_t long_name_bytes = 100'000;

constexpr std::array<std::string_view, 22> odd_tokens{
    "-1",
    "0",
    "1e999",
    "-1e999",
    "1.5",
    "65536",
    "4294967296",
    "9223372036854775808",
    "18446744073709551615",
    "99999999999999999999999",
    "null",
    "true",
    "\"\"",
    "\"\xff\xfe\"",
    "\"\\u0000\"",
    "[]",
    "{}",
    "\"0.0.0.0:0\"",
    "\"1.2.3.4:70000\"",
    "nan",
    "\r\n",
    "\""};

bool is_token_character(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
           character == '-' || character == '.' || character == '"';
}

} // namespace

std::string input_mutator::next()
{
    std::string input = corpus_[below(corpus_.size())];
    for (std::size_t n = below(max_mutations) + 1; n > 0; --n)
        mutate(input);
    input.resize(std::min(input.size(), max_input_bytes));
    return input;
}

void input_mutator::mutate(std::string& input)
{
    std::size_t const at = below(input.size() + 1);
    std::size_t const length = below(input.size() - at + 1);
    switch (below(9))
    {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(random_());
        break;
    case 1:
        input.erase(at, length);
        break;
    case 2:
        input.insert(at, input.substr(at, length));
        break;
    case 3:
    {
        std::string const& other = corpus_[below(corpus_.size())];
        input = input.substr(0, at) + other.substr(below(other.size() + 1));
        break;
    }
    case 4:
        input.insert(at, odd_tokens[below(odd_tokens.size())]);
        break;
    case 5:
        if (at < input.size())
            input[at] = static_cast<char>(input[at] ^ (1 << below(8)));
        break;
    case 6:
        input.resize(at);
        break;
    default:
        replace_token(input);
        break;
    }
    constexpr std::size_t rarely = 200;
    if (below(rarely) == 0)
        input.insert(
            below(input.size() + 1),
            std::string(deep_levels, '[') + std::string(deep_levels, ']'));
    if (below(rarely) == 0)
        input.insert(
            below(input.size() + 1), std::string(long_name_bytes, 'n'));
}

void input_mutator::replace_token(std::string& input)
{
    auto const begin = std::find_if(
        input.begin() + static_cast<std::ptrdiff_t>(below(input.size() + 1)),
        input.end(),
        is_token_character);
    auto const end = std::find_if_not(begin, input.end(), is_token_character);
    std::string_view const token = odd_tokens[below(odd_tokens.size())];
    input.replace(begin, end, token.begin(), token.end());
}

} // namespace samphire::bench
