#include "document/nesting_depth.hpp"

#include "document/structure_scanner.hpp"

#include <algorithm>

namespace samphire
{

std::size_t nesting_depth(std::string_view text)
{
    std::size_t max_depth = 0;
    structure_scanner scanner(text);
    while (scanner.next())
        max_depth = std::max(max_depth, scanner.depth());
    return max_depth;
}

} // namespace samphire
