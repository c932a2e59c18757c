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

/// Requests that wait for a slot, in dispatch order.
class dispatch_queue
{
public:
    /// A request that has not started by `latest_start` cannot meet its
    /// deadline.
    void push(admission_request const& request, absl::Time latest_start);
    /// The first request in dispatch order; null when empty.
    admission_request const* first() const;
    /// The last request in dispatch order; null when empty.
    admission_request const* last() const;
    bool erase(execution_id id);
    /// Removes and returns a request whose latest start time has passed.
    std::optional<execution_id> pop_expired(absl::Time now);
    /// When pop_expired() should be called next.
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

    std::uint64_t arrivals_{};
    request_map requests_;
    absl::flat_hash_map<execution_id, request_map::iterator> positions_;
    deadline_queue<execution_id> latest_starts_;
};

} // namespace samphire
