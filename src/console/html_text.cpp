#include "console/html_text.hpp"

#include <absl/strings/str_replace.h>

namespace samphire
{

std::string escape_html(std::string_view text)
{
    return absl::StrReplaceAll(
        std::string(text),
        {{"&", "&amp;"},
         {"<", "&lt;"},
         {">", "&gt;"},
         {"\"", "&quot;"},
         {"'", "&#39;"}});
}

} // namespace samphire
