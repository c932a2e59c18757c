#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_lookup_result.hpp"
#include "messages/record_transfer.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>

namespace samphire
{

/// Stores the execution records of daemons of the domain that stopped
/// gracefully.
class departed_records
{
public:
    /// Stores one part of the records of a departed guard. Drops the records of
    /// the oldest guards when the limit on guards, records or answer bytes is
    /// exceeded.
    void add(record_transfer const& part);

    /// Returns the state that the departed guard recorded for the ticket. A
    /// ticket without a record is closed only when all parts of the transfer
    /// have arrived and the guard kept records of the epoch of the ticket;
    /// otherwise the ticket is expired.
    ticket_lookup_result find(execution_ticket const& ticket) const;

private:
    struct departed_guard
    {
        daemon_id guard_{};
        incarnation incarnation_{};
        ticket_epoch epoch_{};
        bool last_part_received_{};
        std::uint64_t total_records_{};
        std::size_t stored_answer_bytes_{};
        absl::flat_hash_map<request_id, answered_record> records_{};
    };

    void drop_oldest_guards();

    /// Departed guards in the order of their first transfers, oldest first.
    std::list<departed_guard> departed_guards_;
};

} // namespace samphire
