#pragma once

#include "execution/stored_answer.hpp"
#include "execution/ticket_state.hpp"

#include <optional>

namespace samphire
{

/// State of a ticket, and the stored answer when the state is answered.
struct ticket_lookup_result
{
    ticket_state const state_{};
    std::optional<stored_answer> const answer_{};

    friend bool operator==(
        ticket_lookup_result const&, ticket_lookup_result const&) = default;
};

} // namespace samphire
