#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace samphire
{

/// 64-bit identifier or counter; `Tag` makes identifiers of different things
/// distinct types. Zero means "none" for every identifier.
template <class Tag>
class numeric_id
{
public:
    constexpr numeric_id() = default;
    constexpr explicit numeric_id(std::uint64_t value) : value_(value)
    {
    }

    constexpr std::uint64_t value() const
    {
        return value_;
    }

    constexpr bool empty() const
    {
        return value_ == 0;
    }

    constexpr numeric_id next() const
    {
        return numeric_id(value_ + 1);
    }

    friend bool operator==(numeric_id const&, numeric_id const&) = default;
    friend auto operator<=>(numeric_id const&, numeric_id const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, numeric_id const& id)
    {
        return Hash::combine(std::move(state), id.value_);
    }

private:
    std::uint64_t value_{};
};

} // namespace samphire
