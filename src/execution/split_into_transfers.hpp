#pragma once

#include "messages/record_transfer.hpp"

#include <vector>

namespace samphire
{

/// Splits the execution records of a departing guard into one or more messages.
/// Only the last message has `is_last_part_` set.
std::vector<record_transfer> split_into_transfers(
    daemon_id const& guard,
    incarnation guard_incarnation,
    ticket_epoch epoch,
    std::vector<answered_record> const& records);

} // namespace samphire
