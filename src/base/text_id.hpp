#pragma once

#include <compare>
#include <string>
#include <utility>

namespace samphire
{

/// Text identifier; `Tag` makes identifiers of different things distinct types.
template <class Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string value) : value_(std::move(value))
    {
    }

    std::string const& value() const
    {
        return value_;
    }

    bool empty() const
    {
        return value_.empty();
    }

    friend bool operator==(text_id const&, text_id const&) = default;
    friend auto operator<=>(text_id const&, text_id const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, text_id const& id)
    {
        return Hash::combine(std::move(state), id.value_);
    }

private:
    std::string value_;
};

} // namespace samphire
