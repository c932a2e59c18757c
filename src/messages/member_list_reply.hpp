#pragma once

#include "membership/member_record.hpp"

#include <vector>

namespace samphire
{

/// Lists at most 8,192 members that the sender knows in the domains whose
/// digests differ, and the graceful departures that the sender still
/// disseminates.
struct member_list_reply
{
    std::vector<member_record> const members_{};

    friend bool
    operator==(member_list_reply const&, member_list_reply const&) = default;
};

} // namespace samphire
