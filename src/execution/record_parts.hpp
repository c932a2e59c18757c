#pragma once

#include "messages/record_transfer.hpp"

#include <vector>

namespace samphire
{

/// Divides the records of a departing guard into messages; the last part is
/// sealed. There is at least one.
std::vector<record_transfer> record_parts(
    daemon_id const& guard,
    incarnation number,
    ticket_epoch epoch,
    std::vector<answered_record> const& records);

} // namespace samphire
