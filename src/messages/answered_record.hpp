#pragma once

#include "base/request_id.hpp"
#include "execution/stored_answer.hpp"
#include "execution/ticket_state.hpp"

#include <optional>

namespace samphire
{

/// Execution record of one ticket, sent to a peer during a graceful shutdown.
struct answered_record
{
    request_id const nonce_{};
    /// ticket_state::answered, or ticket_state::unknown when no answer is
    /// stored.
    ticket_state const state_{};
    std::optional<stored_answer> const answer_{};

    friend bool
    operator==(answered_record const&, answered_record const&) = default;
};

} // namespace samphire
