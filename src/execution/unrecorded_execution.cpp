#include "execution/unrecorded_execution.hpp"

namespace samphire
{

static_assert(execution_policy<unrecorded_execution>);

unrecorded_execution::unrecorded_execution(incarnation, registry_limits)
{
}

ticket_lookup_result
unrecorded_execution::accept(execution_ticket const&, absl::Time)
{
    return {ticket_state::fresh, std::nullopt};
}

void unrecorded_execution::record_answer(
    request_id const&, stored_answer const&, absl::Time)
{
}

void unrecorded_execution::close(request_id const&, absl::Time)
{
}

void unrecorded_execution::record_unknown(request_id const&, absl::Time)
{
}

ticket_lookup_result
unrecorded_execution::query(execution_ticket const&, bool close, absl::Time)
{
    // No execution records are kept, so the request of the ticket is assumed
    // not to have run.
    auto const state = close ? ticket_state::closed : ticket_state::fresh;
    return {state, std::nullopt};
}

ticket_epoch unrecorded_execution::epoch(absl::Time)
{
    return ticket_epoch(1);
}

std::vector<answered_record> unrecorded_execution::records() const
{
    return {};
}

} // namespace samphire
