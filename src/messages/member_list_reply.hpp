#pragma once

#include "membership/member_record.hpp"

#include <vector>

namespace samphire
{

/// All members that the sender knows, at most 8,192.
struct member_list_reply
{
    std::vector<member_record> const members_{};

    friend bool
    operator==(member_list_reply const&, member_list_reply const&) = default;
};

} // namespace samphire
