#include "admission/fifo_admission.hpp"

#include <algorithm>

namespace samphire
{

static_assert(admission_policy<fifo_admission>);

fifo_admission::fifo_admission(std::size_t queue_capacity)
    : queue_capacity_(queue_capacity)
{
}

std::vector<shed_execution>
fifo_admission::offer(admission_request const& request, absl::Time)
{
    if (queue_.size() >= queue_capacity_)
        return {{request.execution_, outcome_reason::overloaded}};
    queue_.push_back(request.execution_);
    return {};
}

std::optional<execution_id> fifo_admission::start_next(absl::Time)
{
    if (queue_.empty() || running_.size() >= slots_)
        return std::nullopt;
    execution_id const next = queue_.front();
    queue_.pop_front();
    running_.insert(next);
    return next;
}

std::vector<shed_execution> fifo_admission::expire(absl::Time)
{
    return {};
}

void fifo_admission::finish(execution_id id, absl::Time)
{
    if (running_.erase(id) == 0)
        std::erase(queue_, id);
}

void fifo_admission::set_slots(std::uint32_t slots, absl::Time)
{
    slots_ = slots;
}

void fifo_admission::report_load(std::uint32_t, absl::Time)
{
}

admission_level fifo_admission::level() const
{
    return {};
}

std::size_t fifo_admission::in_flight() const
{
    return running_.size();
}

std::size_t fifo_admission::queued_request_count() const
{
    return queue_.size();
}

absl::Time fifo_admission::next_deadline() const
{
    return absl::InfiniteFuture();
}

} // namespace samphire
