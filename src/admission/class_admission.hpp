#pragma once

#include "admission/admission_policy.hpp"
#include "admission/class_shares.hpp"
#include "admission/dispatch_queue.hpp"
#include "admission/level_controller.hpp"
#include "admission/run_time_estimator.hpp"
#include "admission/slot_limit.hpp"
#include "admission/started_request.hpp"
#include "admission/time_weighted_average.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <deque>

namespace samphire
{

/// Admission strategy of the product: limits running requests to the slots of
/// the upstream, shares the slots between work classes, reserves slots for
/// critical requests, sheds queued requests that cannot meet their deadline,
/// and raises the admission level when the queue wait is too long.
class class_admission
{
public:
    explicit class_admission(std::size_t queue_capacity);

    std::vector<shed_execution>
    offer(admission_request const& request, absl::Time now);
    std::optional<execution_id> start_next(absl::Time now);
    std::vector<shed_execution> expire(absl::Time now);
    void finish(execution_id id, absl::Time now);
    void set_slots(std::uint32_t slots, absl::Time now);
    void report_load(std::uint32_t load, absl::Time now);

    admission_level level() const;
    std::size_t in_flight() const;
    std::size_t queued_request_count() const;
    absl::Time next_deadline() const;

private:
    dispatch_queue& queue_of(work_class kind)
    {
        return queues_[static_cast<std::size_t>(kind)];
    }

    bool is_below_level(admission_request const& request) const;
    std::vector<shed_execution> shed_if_full(admission_request const& request);
    std::optional<execution_id> start_first_alone_request(absl::Time now);
    std::optional<execution_id>
    try_start_first(dispatch_queue& queue, absl::Time now);
    execution_id start(admission_request const& request, absl::Time now);
    void update_level(absl::Time now);

    std::size_t const queue_capacity_;
    slot_limit slot_limit_;
    run_time_estimator run_time_estimator_;
    class_shares class_shares_;
    level_controller level_controller_;
    time_weighted_average average_busy_slots_;
    std::array<dispatch_queue, 2> queues_;
    dispatch_queue alone_queue_;
    absl::flat_hash_map<execution_id, started_request> running_;
    bool is_request_running_alone_{};
    /// From this time on, no other request starts before a queued request that
    /// must run alone.
    absl::Time alone_precedence_at_{absl::InfinitePast()};
};

} // namespace samphire
