#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_finding.hpp"
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
    /// Takes one part of a transfer.
    void add(record_transfer const& part);

    /// Closed only when the transfer is sealed and complete and the ticket is
    /// absent from it; expired when nothing is known.
    ticket_finding find(execution_ticket const& ticket) const;

private:
    struct departed_guard
    {
        daemon_id guard_{};
        incarnation incarnation_{};
        ticket_epoch epoch_{};
        bool sealed_{};
        std::uint64_t total_{};
        std::size_t answer_bytes_{};
        absl::flat_hash_map<request_id, answered_record> records_{};
    };

    void drop_oldest();

    /// Oldest first.
    std::list<departed_guard> guards_;
};

} // namespace samphire
