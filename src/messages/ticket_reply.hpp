#pragma once

#include "base/exchange_id.hpp"
#include "execution/stored_answer.hpp"
#include "execution/ticket_state.hpp"

#include <optional>

namespace samphire
{

/// Reports the state of a ticket in reply to a ticket_query.
struct ticket_reply
{
    exchange_id const exchange_{};
    ticket_state const state_{};
    /// Present if and only if the state is answered.
    std::optional<stored_answer> const answer_{};

    friend bool operator==(ticket_reply const&, ticket_reply const&) = default;
};

} // namespace samphire
