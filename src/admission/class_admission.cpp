#include "admission/class_admission.hpp"

#include "admission/request_priority.hpp"

#include <algorithm>
#include <tuple>

namespace samphire
{

static_assert(admission_policy<class_admission>);

namespace
{

// Others run at least this long between two requests that run alone, so that
// neither kind starves.
constexpr absl::Duration alone_patience = absl::Milliseconds(100);
// Queue wait at which the level starts to rise, at least this and otherwise
// one service time: enough to keep every slot busy.
constexpr absl::Duration least_wait_target = absl::Milliseconds(5);

} // namespace

class_admission::class_admission(std::size_t queue_capacity)
    : queue_capacity_(queue_capacity)
{
}

std::vector<shed_execution>
class_admission::offer(admission_request const& request, absl::Time now)
{
    absl::Duration const run_time =
        service_times_.estimate(request.work_class_, now);
    controller_.offered(
        request_priority(request.importance_, request.request_));
    shares_.offered(request, run_time, now);
    if (now + run_time > request.deadline_)
        return {{request.execution_, outcome_reason::deadline}};
    if (below_level(request))
        return {{request.execution_, outcome_reason::overloaded}};
    std::vector<shed_execution> shed = make_room(request);
    bool const refused =
        !shed.empty() && shed.front().execution_ == request.execution_;
    if (refused)
        return shed;
    absl::Time const start_by = request.deadline_ - run_time;
    if (!request.alone_)
    {
        queue_of(request.work_class_).push(request, start_by);
        return shed;
    }
    if (alone_.empty())
        alone_turn_ = std::max(alone_turn_, now + alone_patience);
    alone_.push(request, start_by);
    return shed;
}

/// Work already done for deeper calls would be wasted, so they are shed only
/// by the queue.
bool class_admission::below_level(admission_request const& request) const
{
    return request.depth_ == 0 &&
           request_priority(request.importance_, request.request_) <
               controller_.level().value();
}

/// Sheds the last in dispatch order when the queue is full.
std::vector<shed_execution>
class_admission::make_room(admission_request const& request)
{
    if (queued() < queue_capacity_)
        return {};
    dispatch_queue* victims = nullptr;
    execution_id victim = request.execution_;
    for (dispatch_queue* const queue : {&queues_[0], &queues_[1], &alone_})
    {
        admission_request const* const last = queue->last();
        if (!last)
            continue;
        bool const worse = std::tuple(last->importance_, last->depth_) <
                           std::tuple(request.importance_, request.depth_);
        if (!worse ||
            (victims && last->importance_ >= victims->last()->importance_))
            continue;
        victims = queue;
        victim = last->execution_;
    }
    if (victims)
        victims->erase(victim);
    return {{victim, outcome_reason::overloaded}};
}

std::optional<execution_id> class_admission::start_next(absl::Time now)
{
    if (running_alone_ || running_.size() >= limit_.current())
        return std::nullopt;
    if (!alone_.empty())
    {
        bool const others_wait = !queues_[0].empty() || !queues_[1].empty();
        bool const turn = now >= alone_turn_ || !others_wait;
        if (turn && running_.empty())
            return start_alone(now);
        if (turn)
            return std::nullopt;
    }
    dispatch_queue& short_queue = queue_of(work_class::short_work);
    dispatch_queue& long_queue = queue_of(work_class::long_work);
    // Long work below its share goes first; otherwise short work, which gives
    // its slot back soon, would always be before it.
    if (auto const id = start_from(long_queue, now))
        return id;
    return start_from(short_queue, now);
}

std::optional<execution_id>
class_admission::start_from(dispatch_queue& queue, absl::Time now)
{
    admission_request const* const first = queue.first();
    std::size_t const long_waiting = queue_of(work_class::long_work).size();
    bool const allowed =
        first && shares_.may_start(*first, limit_.current(), long_waiting, now);
    if (!allowed)
        return std::nullopt;
    admission_request const request = *first;
    queue.erase(request.execution_);
    return start(request, now);
}

std::optional<execution_id> class_admission::start_alone(absl::Time now)
{
    admission_request const request = *alone_.first();
    alone_.erase(request.execution_);
    running_alone_ = true;
    return start(request, now);
}

execution_id
class_admission::start(admission_request const& request, absl::Time now)
{
    running_.emplace(request.execution_, started_request{request, now});
    shares_.started(request);
    limit_.observe_in_flight(running_.size(), now);
    busy_.set(running_.size(), now);
    return request.execution_;
}

std::vector<shed_execution> class_admission::expire(absl::Time now)
{
    std::vector<shed_execution> shed;
    for (dispatch_queue* const queue : {&queues_[0], &queues_[1], &alone_})
    {
        while (auto const id = queue->pop_late(now))
            shed.push_back({*id, outcome_reason::deadline});
    }
    update_level(now);
    return shed;
}

void class_admission::finish(execution_id id, absl::Time now)
{
    auto const found = running_.find(id);
    if (found == running_.end())
    {
        for (dispatch_queue* const queue : {&queues_[0], &queues_[1], &alone_})
            queue->erase(id);
        return;
    }
    admission_request const& request = found->second.request_;
    service_times_.observe(
        request.work_class_,
        now - found->second.started_at_,
        now < request.deadline_,
        now);
    shares_.finished(request);
    if (request.alone_)
    {
        running_alone_ = false;
        alone_turn_ = now + alone_patience;
    }
    running_.erase(found);
    limit_.observe_in_flight(running_.size(), now);
    busy_.set(running_.size(), now);
}

void class_admission::set_slots(std::uint32_t slots, absl::Time)
{
    limit_.set_slots(slots);
}

void class_admission::report_load(std::uint32_t load, absl::Time now)
{
    limit_.report_load(load, now);
}

/// Long work waits for its own share and does not show how busy the guard is.
void class_admission::update_level(absl::Time now)
{
    if (!controller_.due(now))
        return;
    absl::Duration const run_time =
        service_times_.estimate(work_class::short_work, now);
    std::size_t const waiting = queues_[0].size();
    std::uint32_t const slots = std::max(limit_.current(), 1U);
    controller_.update(
        run_time * static_cast<double>(waiting) / slots,
        std::max(least_wait_target, 3 * run_time),
        busy_.take(now) / slots,
        now);
}

admission_level class_admission::level() const
{
    return controller_.level();
}

std::size_t class_admission::in_flight() const
{
    return running_.size();
}

std::size_t class_admission::queued() const
{
    return queues_[0].size() + queues_[1].size() + alone_.size();
}

absl::Time class_admission::next_deadline() const
{
    absl::Time next = controller_.next_update();
    for (dispatch_queue const& queue : queues_)
        next = std::min(next, queue.next_late());
    next = std::min(next, alone_.next_late());
    return next;
}

} // namespace samphire
