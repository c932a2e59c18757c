#include "admission/dispatch_queue.hpp"

namespace samphire
{

void dispatch_queue::push(
    admission_request const& request, absl::Time latest_start)
{
    auto const position =
        requests_
            .emplace(
                dispatch_order::of(request, ++last_arrival_number_), request)
            .first;
    positions_by_execution_.emplace(request.execution_, position);
    latest_start_times_.set(request.execution_, latest_start);
}

admission_request const* dispatch_queue::first() const
{
    return requests_.empty() ? nullptr : &requests_.begin()->second;
}

admission_request const* dispatch_queue::last() const
{
    return requests_.empty() ? nullptr : &requests_.rbegin()->second;
}

bool dispatch_queue::erase(execution_id id)
{
    auto const found = positions_by_execution_.find(id);
    if (found == positions_by_execution_.end())
        return false;
    requests_.erase(found->second);
    positions_by_execution_.erase(found);
    latest_start_times_.erase(id);
    return true;
}

std::optional<execution_id> dispatch_queue::pop_expired(absl::Time now)
{
    auto const expired = latest_start_times_.pop_due(now);
    if (expired)
        erase(*expired);
    return expired;
}

absl::Time dispatch_queue::next_expiry() const
{
    return latest_start_times_.next_deadline();
}

} // namespace samphire
