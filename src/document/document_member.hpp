#pragma once

#include <string_view>

namespace samphire
{

/// Member of a JSON object as text; refers to the text of the object.
struct document_member
{
    /// Name without quotes. Escape sequences are not decoded.
    std::string_view name_{};
    std::string_view value_{};

    friend bool
    operator==(document_member const&, document_member const&) = default;
};

} // namespace samphire
