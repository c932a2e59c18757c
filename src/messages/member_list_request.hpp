#pragma once

#include "membership/domain_digest.hpp"

#include <vector>

namespace samphire
{

/// Asks a peer for the members that the peer knows in each domain whose digest
/// of member records differs from the digest in `known_digests_`. A domain
/// without a digest in `known_digests_` counts as different.
struct member_list_request
{
    std::vector<domain_digest> const known_digests_{};

    friend bool operator==(
        member_list_request const&, member_list_request const&) = default;
};

} // namespace samphire
