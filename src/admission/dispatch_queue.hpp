#pragma once

#include "admission/admission_request.hpp"
#include "admission/dispatch_order.hpp"
#include "base/deadline_queue.hpp"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <vector>

namespace samphire
{

/// Queue of the requests that wait for a slot, in dispatch order.
class dispatch_queue
{
public:
    /// Queues the request. `latest_start` is the time after which a start would
    /// be too late for the deadline of the request.
    void push(admission_request const& request, absl::Time latest_start);
    /// Returns the first request in dispatch order; null when the queue is
    /// empty.
    admission_request const* first() const;
    /// Returns the last request in dispatch order; null when the queue is
    /// empty.
    admission_request const* last() const;
    bool erase(execution_id id);
    /// Removes and returns a request whose latest start time has passed; none
    /// when there is none.
    std::optional<execution_id> pop_expired(absl::Time now);
    /// Returns the time at which pop_expired() should be called next.
    absl::Time next_expiry() const;

    std::size_t size() const
    {
        return requests_.size();
    }

    bool empty() const
    {
        return requests_.empty();
    }

private:
    using request_map = std::map<dispatch_order, admission_request>;

    std::uint64_t last_arrival_number_{};
    request_map requests_;
    absl::flat_hash_map<execution_id, request_map::iterator>
        positions_by_execution_;
    deadline_queue<execution_id> latest_start_times_;
};

} // namespace samphire
