#pragma once

#include <cstddef>

namespace samphire
{

/// Limits on a JSON document of another party. A document beyond them is
/// rejected before it is built in memory.
struct document_limits
{
    std::size_t max_bytes_{4u << 20};
    /// Maximum nesting depth. Code that visits a document recursively would
    /// exhaust the stack on a deeper one.
    std::size_t max_depth_{32};

    friend bool
    operator==(document_limits const&, document_limits const&) = default;
};

} // namespace samphire
