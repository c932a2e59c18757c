#pragma once

#include "base/exchange_id.hpp"
#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"
#include "execution/execution_ticket.hpp"
#include "messages/call_context.hpp"

#include <optional>

namespace samphire
{

/// Asks a guard to run a request at the upstream of the guard.
struct execute_request
{
    exchange_id const exchange_{};
    service_name const service_{};
    route_name const route_{};
    payload const body_{};
    call_context const context_{};
    /// Present if and only if the request is unrepeatable.
    std::optional<execution_ticket> const ticket_{};
    /// True when the sender created the ticket for this message, so that no
    /// earlier message can have carried it.
    bool const ticket_not_sent_before_{};

    friend bool
    operator==(execute_request const&, execute_request const&) = default;
};

} // namespace samphire
