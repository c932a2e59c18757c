#include "document/structure_scanner.hpp"

namespace samphire
{

std::optional<std::size_t> structure_scanner::next()
{
    while (position_ < text_.size())
    {
        std::size_t const current = position_++;
        switch (text_[current])
        {
        case '"':
            skip_string();
            break;
        case '{':
        case '[':
            ++depth_;
            return current;
        case '}':
        case ']':
            depth_ -= depth_ > 0 ? 1 : 0;
            return current;
        case ',':
        case ':':
            return current;
        default:
            break;
        }
    }
    return std::nullopt;
}

void structure_scanner::skip_string()
{
    while (position_ < text_.size())
    {
        char const current = text_[position_++];
        if (current == '"')
            return;
        if (current == '\\')
            ++position_;
    }
}

} // namespace samphire
