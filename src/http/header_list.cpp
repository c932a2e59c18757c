#include "http/header_list.hpp"

#include "base/text.hpp"

namespace samphire
{

std::optional<std::string>
find_header(header_list const& headers, std::string_view name)
{
    for (http_header const& header : headers)
    {
        if (equals_ignore_case(header.name_, name))
            return header.value_;
    }
    return std::nullopt;
}

} // namespace samphire
