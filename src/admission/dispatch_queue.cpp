#include "admission/dispatch_queue.hpp"

namespace samphire
{

void dispatch_queue::push(admission_request const& request, absl::Time start_by)
{
    auto const position =
        requests_.emplace(dispatch_order::of(request, ++arrivals_), request)
            .first;
    positions_.emplace(request.execution_, position);
    start_times_.set(request.execution_, start_by);
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
    auto const found = positions_.find(id);
    if (found == positions_.end())
        return false;
    requests_.erase(found->second);
    positions_.erase(found);
    start_times_.erase(id);
    return true;
}

std::optional<execution_id> dispatch_queue::pop_late(absl::Time now)
{
    auto const late = start_times_.pop_due(now);
    if (late)
        erase(*late);
    return late;
}

absl::Time dispatch_queue::next_late() const
{
    return start_times_.next();
}

} // namespace samphire
