#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_lookup_result.hpp"
#include "messages/record_transfer.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>

namespace samphire
{

/// Execution records of daemons of the domain that stopped gracefully.
class departed_records
{
public:
    /// Stores one part of a transfer; drops the records of the oldest guards
    /// when a bound on guards, records or answer bytes is exceeded.
    void add(record_transfer const& part);

    /// State that the guard recorded for the ticket. An absent ticket is closed
    /// only when the transfer is sealed and complete and covers the epoch of
    /// the ticket; otherwise it is expired.
    ticket_lookup_result find(execution_ticket const& ticket) const;

private:
    struct departed_guard
    {
        daemon_id guard_{};
        incarnation incarnation_{};
        ticket_epoch epoch_{};
        bool sealed_{};
        std::uint64_t total_records_{};
        std::size_t answer_bytes_{};
        absl::flat_hash_map<request_id, answered_record> records_{};
    };

    void drop_oldest();

    /// In the order of their first transfer, oldest first.
    std::list<departed_guard> guards_;
};

} // namespace samphire
