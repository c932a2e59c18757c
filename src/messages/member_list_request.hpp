#pragma once

#include "membership/domain_digest.hpp"

#include <vector>

namespace samphire
{

/// Asks a peer for the members that it knows in each domain whose digest
/// differs from the one stated here. A domain that is not stated counts as
/// different.
struct member_list_request
{
    std::vector<domain_digest> const known_digests_{};

    friend bool operator==(
        member_list_request const&, member_list_request const&) = default;
};

} // namespace samphire
