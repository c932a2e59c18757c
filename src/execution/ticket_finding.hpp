#pragma once

#include "execution/stored_answer.hpp"
#include "execution/ticket_state.hpp"

#include <optional>

namespace samphire
{

/// State of a ticket, with its answer when the state is answered.
struct ticket_finding
{
    ticket_state const state_{};
    std::optional<stored_answer> const answer_{};

    friend bool
    operator==(ticket_finding const&, ticket_finding const&) = default;
};

} // namespace samphire
