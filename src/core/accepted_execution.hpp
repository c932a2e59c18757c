#pragma once

#include "base/idempotency_key.hpp"
#include "core/reply_address.hpp"
#include "messages/execute_request.hpp"
#include "quarantine/request_fingerprint.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace samphire
{

/// Tracks one request that this guard has accepted and not yet answered.
class accepted_execution
{
public:
    accepted_execution(
        execute_request request, reply_address origin, absl::Time now)
        : request_(std::move(request)),
          fingerprint_(request_fingerprint(
              request_.service_, request_.route_, request_.body_)),
          accepted_at_(now),
          deadline_(now + request_.context_.time_to_deadline_),
          attempts_left_(request_.context_.attempts_left_), waiters_{origin}
    {
    }

    execute_request const& request() const
    {
        return request_;
    }

    fingerprint request_hash() const
    {
        return fingerprint_;
    }

    absl::Time accepted_at() const
    {
        return accepted_at_;
    }

    absl::Time deadline() const
    {
        return deadline_;
    }

    bool started() const
    {
        return started_;
    }

    void set_started()
    {
        started_ = true;
    }

    /// Returns the maximum number of retries that the calls of this execution
    /// may still make together.
    std::uint32_t attempts_left() const
    {
        return attempts_left_;
    }

    void subtract_attempts(std::uint32_t count)
    {
        attempts_left_ -= std::min(count, attempts_left_);
    }

    void add_attempts(std::uint32_t count)
    {
        attempts_left_ += count;
    }

    /// Returns the highest admission level among the replies to the calls that
    /// this execution made.
    admission_level highest_child_level() const
    {
        return highest_child_level_;
    }

    void observe_child_level(admission_level level)
    {
        highest_child_level_ = std::max(highest_child_level_, level);
    }

    /// Returns the sequence number for the ticket of the next call that this
    /// execution makes.
    std::uint32_t next_child_number()
    {
        return ++last_child_number_;
    }

    /// Returns the ticket of the unrepeatable call with this key; nullopt when
    /// there is none. When the upstream repeats a call, the second call uses
    /// the same ticket, so that the guard finds the record of the first one.
    std::optional<execution_ticket> child_ticket(idempotency_key const& key)
    {
        auto const found = child_tickets_.find(key);
        if (found == child_tickets_.end())
            return std::nullopt;
        return found->second;
    }

    /// Stores the ticket of the call with this key. Returns false, and stores
    /// nothing, when the execution already has the maximum number of keyed
    /// calls.
    bool store_child_ticket(
        idempotency_key const& key, execution_ticket const& ticket)
    {
        constexpr std::size_t capacity = 1024;
        child_tickets_.erase(key);
        if (child_tickets_.size() >= capacity)
            return false;
        child_tickets_.emplace(key, ticket);
        return true;
    }

    /// Removes the ticket of a call that never runs, so that the key of the
    /// call can get a new ticket.
    void drop_child_ticket(
        idempotency_key const& key, execution_ticket const& ticket)
    {
        if (child_ticket(key) == ticket)
            child_tickets_.erase(key);
    }

    std::list<reply_address> const& waiters() const
    {
        return waiters_;
    }

    void add_waiter(reply_address const& waiter)
    {
        waiters_.push_back(waiter);
    }

    void remove_waiter(reply_address const& waiter)
    {
        std::list<reply_address> remaining_waiters;
        for (reply_address const& other : waiters_)
        {
            if (other != waiter)
                remaining_waiters.push_back(other);
        }
        waiters_.swap(remaining_waiters);
    }

private:
    execute_request const request_;
    fingerprint const fingerprint_;
    absl::Time const accepted_at_;
    absl::Time const deadline_;
    bool started_{};
    std::uint32_t attempts_left_;
    admission_level highest_child_level_{};
    std::list<reply_address> waiters_;
    std::uint32_t last_child_number_{};
    std::map<idempotency_key, execution_ticket> child_tickets_;
};

} // namespace samphire
