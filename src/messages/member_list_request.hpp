#pragma once

#include "membership/domain_digest.hpp"

#include <vector>

namespace samphire
{

/// Asks a peer for the member records that the peer has of each domain whose
/// digest at the peer differs from the digest in `known_digests_`. A domain
/// without a digest in `known_digests_` counts as different.
struct member_list_request
{
    std::vector<domain_digest> const known_digests_{};

    friend bool operator==(
        member_list_request const&, member_list_request const&) = default;
};

} // namespace samphire
