#pragma once

#include "admission/admission_policy.hpp"

#include <absl/container/flat_hash_set.h>

#include <deque>

namespace samphire
{

/// Baseline admission strategy: the announced slots are a fixed limit, the
/// queue is first in, first out, and requests are shed only when the queue is
/// full.
class fifo_admission
{
public:
    explicit fifo_admission(std::size_t queue_capacity);

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
    std::size_t const queue_capacity_;
    std::uint32_t slots_{};
    std::deque<execution_id> queue_;
    absl::flat_hash_set<execution_id> running_;
};

} // namespace samphire
