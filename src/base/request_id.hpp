#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace samphire
{

/// 128-bit random number that identifies one caller's request over all hops.
struct request_id
{
    std::uint64_t const high_{};
    std::uint64_t const low_{};

    friend bool operator==(request_id const&, request_id const&) = default;
    friend auto operator<=>(request_id const&, request_id const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, request_id const& id)
    {
        return Hash::combine(std::move(state), id.high_, id.low_);
    }
};

} // namespace samphire
