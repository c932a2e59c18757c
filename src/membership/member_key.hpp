#pragma once

#include "base/daemon_id.hpp"
#include "base/incarnation.hpp"

#include <compare>
#include <utility>

namespace samphire
{

/// Identifies one incarnation of one daemon.
struct member_key
{
    daemon_id const daemon_{};
    incarnation const incarnation_{};

    friend bool operator==(member_key const&, member_key const&) = default;
    friend auto operator<=>(member_key const&, member_key const&) = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, member_key const& key)
    {
        return Hash::combine(std::move(state), key.daemon_, key.incarnation_);
    }
};

} // namespace samphire
