#pragma once

#include "admission/admission_request.hpp"

#include <compare>
#include <cstdint>

namespace samphire
{

/// Sort key of a request in the dispatch queue; smaller values run first. The
/// order is by higher importance, then by greater depth in the call chain,
/// since more work was already done for deeper calls, then by arrival.
struct dispatch_order
{
    std::uint32_t const reversed_importance_{};
    std::uint32_t const reversed_depth_{};
    std::uint64_t const arrival_number_{};

    static dispatch_order
    of(admission_request const& request, std::uint64_t arrival_number)
    {
        return {
            ~static_cast<std::uint32_t>(request.importance_),
            ~request.depth_,
            arrival_number};
    }

    friend bool
    operator==(dispatch_order const&, dispatch_order const&) = default;
    friend auto
    operator<=>(dispatch_order const&, dispatch_order const&) = default;
};

} // namespace samphire
