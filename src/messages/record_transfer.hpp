#pragma once

#include "base/daemon_id.hpp"
#include "base/incarnation.hpp"
#include "base/ticket_epoch.hpp"
#include "messages/answered_record.hpp"

#include <vector>

namespace samphire
{

/// Transfers one part of the execution records of a daemon that stops. The
/// receiver may report "not run" for a ticket without a record only after all
/// parts have arrived.
struct record_transfer
{
    daemon_id const guard_{};
    incarnation const incarnation_{};
    ticket_epoch const epoch_{};
    std::vector<answered_record> const records_{};
    /// Total number of records in all parts of the transfer.
    std::uint64_t const total_records_{};
    /// True for the last part of the transfer.
    bool const is_last_part_{};

    friend bool
    operator==(record_transfer const&, record_transfer const&) = default;
};

} // namespace samphire
