#include "document/document_parts.hpp"

#include "base/text.hpp"
#include "document/structure_scanner.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

bool is_enclosed(std::string_view text, char open, char close)
{
    return text.size() >= 2 && text.front() == open && text.back() == close;
}

/// Returns the texts between the outermost brackets and commas of an array or
/// object; none when a bracket is not closed.
std::vector<std::string_view> split_at_commas(std::string_view container)
{
    std::vector<std::string_view> parts;
    structure_scanner scanner(container);
    std::size_t begin = 1;
    while (auto const at = scanner.next())
    {
        bool const is_separator = scanner.depth() == 1 && container[*at] == ',';
        bool const is_end = scanner.depth() == 0;
        if (!is_separator && !is_end)
            continue;
        std::string_view const part =
            trim(container.substr(begin, *at - begin));
        if (!part.empty())
            parts.push_back(part);
        begin = *at + 1;
        if (is_end)
            return *at + 1 == container.size()
                       ? parts
                       : std::vector<std::string_view>();
    }
    return {};
}

} // namespace

std::vector<document_member> split_members(std::string_view object)
{
    object = trim(object);
    std::vector<document_member> members;
    if (!is_enclosed(object, '{', '}'))
        return members;
    for (std::string_view const part : split_at_commas(object))
    {
        structure_scanner scanner(part);
        auto const colon = scanner.next();
        if (!colon || part[*colon] != ':')
            return {};
        std::string_view const name = trim(part.substr(0, *colon));
        if (!is_enclosed(name, '"', '"'))
            return {};
        members.push_back(
            {name.substr(1, name.size() - 2), trim(part.substr(*colon + 1))});
    }
    return members;
}

std::string_view
find_member(std::vector<document_member> const& members, std::string_view name)
{
    auto const found = std::find_if(
        members.begin(),
        members.end(),
        [&](document_member const& member) { return member.name_ == name; });
    return found == members.end() ? std::string_view() : found->value_;
}

std::vector<std::string_view> split_elements(std::string_view array)
{
    array = trim(array);
    if (!is_enclosed(array, '[', ']'))
        return {};
    return split_at_commas(array);
}

} // namespace samphire
