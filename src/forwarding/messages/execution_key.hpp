#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace samphire
{

/// Identifies one execute_order message that an entry sent to a guard: the
/// incarnation of the entry's daemon, and a number that is unique within that
/// incarnation.
struct execution_key
{
    std::uint64_t incarnation_{};
    std::uint64_t exchange_number_{};

    friend bool
    operator==(execution_key const&, execution_key const&) = default;
    friend auto
    operator<=>(execution_key const&, execution_key const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, execution_key const& key)
    {
        return Hash::combine(
            std::move(state), key.incarnation_, key.exchange_number_);
    }
};

} // namespace samphire
