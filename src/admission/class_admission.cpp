#include "admission/class_admission.hpp"

#include "admission/request_priority.hpp"

#include <algorithm>
#include <tuple>

namespace samphire
{

static_assert(admission_policy<class_admission>);

namespace
{

// Minimum time between two requests that run alone, in which other requests
// run, so that neither kind starves.
constexpr absl::Duration min_alone_interval = absl::Milliseconds(100);
// Minimum of the target queue wait, which is max(min_target_wait, 3 * run
// time). The admission level rises while the queue wait exceeds the target.
// Queued work for the target wait keeps every slot busy.
constexpr absl::Duration min_target_wait = absl::Milliseconds(5);

} // namespace

class_admission::class_admission(std::size_t queue_capacity)
    : queue_capacity_(queue_capacity)
{
}

std::vector<shed_execution>
class_admission::offer(admission_request const& request, absl::Time now)
{
    absl::Duration const run_time =
        run_time_estimator_.estimate(request.work_class_, now);
    level_controller_.on_offered(
        request_priority(request.importance_, request.request_));
    class_shares_.on_offered(request, run_time, now);
    if (now + run_time > request.deadline_)
        return {{request.execution_, outcome_reason::deadline}};
    if (is_below_level(request))
        return {{request.execution_, outcome_reason::overloaded}};
    std::vector<shed_execution> shed = shed_if_full(request);
    bool const refused =
        !shed.empty() && shed.front().execution_ == request.execution_;
    if (refused)
        return shed;
    absl::Time const latest_start = request.deadline_ - run_time;
    if (!request.runs_alone_)
    {
        queue_of(request.work_class_).push(request, latest_start);
        return shed;
    }
    if (alone_queue_.empty())
        alone_precedence_at_ =
            std::max(alone_precedence_at_, now + min_alone_interval);
    alone_queue_.push(request, latest_start);
    return shed;
}

/// Returns true when the request is shed because its priority is below the
/// admission level. Only requests of depth 0 are shed for this reason: shedding
/// a deeper call would waste the work already done for its request, so deeper
/// calls are shed only by the queue.
bool class_admission::is_below_level(admission_request const& request) const
{
    return request.depth_ == 0 &&
           request_priority(request.importance_, request.request_) <
               level_controller_.level().value();
}

/// When the queue is full, sheds the least important queued request that ranks
/// below the new one by importance and depth, or the new one if there is none.
/// Returns the shed request, or nothing when the queue has capacity.
std::vector<shed_execution>
class_admission::shed_if_full(admission_request const& request)
{
    if (queued_request_count() < queue_capacity_)
        return {};
    dispatch_queue* victim_queue = nullptr;
    execution_id victim = request.execution_;
    for (dispatch_queue* const queue :
         {&queues_[0], &queues_[1], &alone_queue_})
    {
        admission_request const* const last = queue->last();
        if (!last)
            continue;
        bool const ranks_lower =
            std::tuple(last->importance_, last->depth_) <
            std::tuple(request.importance_, request.depth_);
        if (!ranks_lower ||
            (victim_queue &&
             last->importance_ >= victim_queue->last()->importance_))
            continue;
        victim_queue = queue;
        victim = last->execution_;
    }
    if (victim_queue)
        victim_queue->erase(victim);
    return {{victim, outcome_reason::overloaded}};
}

std::optional<execution_id> class_admission::start_next(absl::Time now)
{
    if (is_request_running_alone_ ||
        running_.size() >= slot_limit_.max_in_flight())
        return std::nullopt;
    if (!alone_queue_.empty())
    {
        bool const others_wait = !queues_[0].empty() || !queues_[1].empty();
        bool const alone_takes_precedence =
            now >= alone_precedence_at_ || !others_wait;
        if (alone_takes_precedence && running_.empty())
            return start_first_alone_request(now);
        if (alone_takes_precedence)
            return std::nullopt;
    }
    dispatch_queue& short_queue = queue_of(work_class::short_work);
    dispatch_queue& long_queue = queue_of(work_class::long_work);
    // Long work below its share starts first. Short work frees its slots soon
    // and would otherwise take every slot that becomes free.
    if (auto const id = try_start_first(long_queue, now))
        return id;
    return try_start_first(short_queue, now);
}

std::optional<execution_id>
class_admission::try_start_first(dispatch_queue& queue, absl::Time now)
{
    admission_request const* const first = queue.first();
    std::size_t const queued_long_requests =
        queue_of(work_class::long_work).size();
    bool const allowed =
        first &&
        class_shares_.may_start(
            *first, slot_limit_.max_in_flight(), queued_long_requests, now);
    if (!allowed)
        return std::nullopt;
    admission_request const request = *first;
    queue.erase(request.execution_);
    return start(request, now);
}

std::optional<execution_id>
class_admission::start_first_alone_request(absl::Time now)
{
    admission_request const request = *alone_queue_.first();
    alone_queue_.erase(request.execution_);
    is_request_running_alone_ = true;
    return start(request, now);
}

execution_id
class_admission::start(admission_request const& request, absl::Time now)
{
    running_.emplace(request.execution_, started_request{request, now});
    class_shares_.on_started(request);
    slot_limit_.observe_in_flight(running_.size(), now);
    average_busy_slots_.set_count(running_.size(), now);
    return request.execution_;
}

std::vector<shed_execution> class_admission::expire(absl::Time now)
{
    std::vector<shed_execution> shed;
    for (dispatch_queue* const queue :
         {&queues_[0], &queues_[1], &alone_queue_})
    {
        while (auto const id = queue->pop_expired(now))
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
        for (dispatch_queue* const queue :
             {&queues_[0], &queues_[1], &alone_queue_})
            queue->erase(id);
        return;
    }
    admission_request const& request = found->second.request_;
    run_time_estimator_.observe(
        request.work_class_,
        now - found->second.started_at_,
        now < request.deadline_,
        now);
    class_shares_.on_finished(request);
    if (request.runs_alone_)
    {
        is_request_running_alone_ = false;
        alone_precedence_at_ = now + min_alone_interval;
    }
    running_.erase(found);
    slot_limit_.observe_in_flight(running_.size(), now);
    average_busy_slots_.set_count(running_.size(), now);
}

void class_admission::set_slots(std::uint32_t slots, absl::Time)
{
    slot_limit_.set_slots(slots);
}

void class_admission::report_load(std::uint32_t load, absl::Time now)
{
    slot_limit_.report_load(load, now);
}

/// Updates the admission level from the queue of short work only: long work may
/// wait for its share of the slots while the guard is not overloaded.
void class_admission::update_level(absl::Time now)
{
    if (!level_controller_.is_update_due(now))
        return;
    absl::Duration const run_time =
        run_time_estimator_.estimate(work_class::short_work, now);
    std::size_t const waiting = queues_[0].size();
    std::uint32_t const slots = std::max(slot_limit_.max_in_flight(), 1U);
    level_controller_.update(
        run_time * static_cast<double>(waiting) / slots,
        std::max(min_target_wait, 3 * run_time),
        average_busy_slots_.take_average(now) / slots,
        now);
}

admission_level class_admission::level() const
{
    return level_controller_.level();
}

std::size_t class_admission::in_flight() const
{
    return running_.size();
}

std::size_t class_admission::queued_request_count() const
{
    return queues_[0].size() + queues_[1].size() + alone_queue_.size();
}

absl::Time class_admission::next_deadline() const
{
    absl::Time next = level_controller_.next_update();
    for (dispatch_queue const& queue : queues_)
        next = std::min(next, queue.next_expiry());
    next = std::min(next, alone_queue_.next_expiry());
    return next;
}

} // namespace samphire
