#pragma once

namespace samphire
{

/// Asks a peer for all members that it knows.
struct member_list_request
{
    friend bool operator==(
        member_list_request const&, member_list_request const&) = default;
};

} // namespace samphire
