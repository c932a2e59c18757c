#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace samphire
{

/// Finds the brackets, commas and colons of a JSON text that stand outside its
/// strings. Uses no recursion, so any nesting depth is safe.
class structure_scanner
{
public:
    explicit structure_scanner(std::string_view text) : text_(text)
    {
    }

    /// Returns the position of the next structural character; nothing at the
    /// end of the text.
    std::optional<std::size_t> next();

    /// Returns the number of arrays and objects that are open after the last
    /// character that next() returned.
    std::size_t depth() const
    {
        return depth_;
    }

private:
    void skip_string();

    std::string_view text_;
    std::size_t position_{};
    std::size_t depth_{};
};

} // namespace samphire
