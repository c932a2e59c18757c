#pragma once

#include "base/exchange_id.hpp"
#include "execution/execution_ticket.hpp"

namespace samphire
{

/// Asks a guard for the state of a ticket.
struct ticket_query
{
    exchange_id const exchange_{};
    execution_ticket const ticket_{};
    /// True to close the ticket if its request has not started, so that the
    /// request never runs.
    bool const close_{};

    friend bool operator==(ticket_query const&, ticket_query const&) = default;
};

} // namespace samphire
