#pragma once

#include "core/call_phase.hpp"
#include "core/events/call_received.hpp"
#include "core/sent_attempt.hpp"
#include "messages/call_context.hpp"
#include "quarantine/request_fingerprint.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <list>
#include <optional>
#include <utility>
#include <vector>

namespace samphire
{

/// Tracks one call of a caller or of the local upstream, from the arrival of
/// the call until its answer.
class pending_call
{
public:
    pending_call(
        call_received call,
        call_context context,
        bool unrepeatable,
        absl::Time now)
        : call_(std::move(call)), context_(std::move(context)),
          fingerprint_(
              request_fingerprint(call_.service_, call_.route_, call_.body_)),
          unrepeatable_(unrepeatable), received_at_(now),
          deadline_(now + context_.time_to_deadline_),
          attempts_left_(context_.attempts_left_), callers_{call_.call_}
    {
        if (call_.ticket_)
            ticket_.emplace(*call_.ticket_);
    }

    call_received const& call() const
    {
        return call_;
    }

    /// Returns the context of the call as it was received. The trace of the
    /// context holds the span of this hop.
    call_context const& context() const
    {
        return context_;
    }

    /// Returns the ids of the calls that get the answer: this call and the
    /// calls that joined it.
    std::list<call_id> const& callers() const
    {
        return callers_;
    }

    void add_caller(call_id caller)
    {
        callers_.push_back(caller);
    }

    void remove_caller(call_id caller)
    {
        std::list<call_id> remaining_callers;
        for (call_id const other : callers_)
        {
            if (other != caller)
                remaining_callers.push_back(other);
        }
        callers_.swap(remaining_callers);
    }

    bool unrepeatable() const
    {
        return unrepeatable_;
    }

    absl::Time received_at() const
    {
        return received_at_;
    }

    absl::Time deadline() const
    {
        return deadline_;
    }

    call_phase phase() const
    {
        return phase_;
    }

    void set_phase(call_phase phase)
    {
        phase_ = phase;
    }

    /// Returns true when the caller sent the ticket, or when the ticket was
    /// found under the key of the call. Messages of other calls may carry such
    /// a ticket.
    bool ticket_known_to_others() const
    {
        return call_.ticket_.has_value() || ticket_bound_to_key_;
    }

    /// Returns true when the ticket was found under the key of the call, in the
    /// platform or among the child tickets of the parent execution.
    bool ticket_bound_to_key() const
    {
        return ticket_bound_to_key_;
    }

    std::optional<execution_ticket> const& ticket() const
    {
        return ticket_;
    }

    void set_ticket(execution_ticket const& ticket)
    {
        ticket_.emplace(ticket);
    }

    /// Sets the ticket that was found under the key of the call.
    void set_ticket_bound_to_key(execution_ticket const& ticket)
    {
        ticket_.emplace(ticket);
        ticket_bound_to_key_ = true;
    }

    /// Returns true once an attempt has ended that may have run the request.
    bool may_have_run() const
    {
        return may_have_run_;
    }

    void set_may_have_run()
    {
        may_have_run_ = true;
    }

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

    std::uint32_t attempts_made() const
    {
        return attempts_made_;
    }

    std::list<sent_attempt> const& outstanding_attempts() const
    {
        return outstanding_attempts_;
    }

    std::vector<endpoint> const& tried_peers() const
    {
        return tried_peers_;
    }

    void add_attempt(sent_attempt const& attempt)
    {
        ++attempts_made_;
        tried_peers_.push_back(attempt.peer_);
        outstanding_attempts_.push_back(attempt);
    }

    /// Removes and returns the attempt with this exchange id; nullopt when no
    /// outstanding attempt has the id.
    std::optional<sent_attempt> remove_attempt(exchange_id exchange)
    {
        std::optional<sent_attempt> result;
        for (auto it = outstanding_attempts_.begin();
             it != outstanding_attempts_.end();
             ++it)
        {
            if (it->exchange_ != exchange)
                continue;
            result.emplace(*it);
            outstanding_attempts_.erase(it);
            break;
        }
        return result;
    }

    /// Returns the time at which the state of the ticket is queried if no reply
    /// has arrived: `margin` before the deadline, but not before three quarters
    /// of the timeout of the call have passed, so that most of a short timeout
    /// remains for the execution.
    absl::Time ticket_query_at(absl::Duration margin) const
    {
        return deadline_ - std::min(margin, (deadline_ - received_at_) / 4);
    }

    fingerprint request_hash() const
    {
        return fingerprint_;
    }

    /// Counts one redirect to another guard. Returns false, and counts nothing,
    /// when the call already had `limit` redirects.
    bool count_redirect(std::uint32_t limit)
    {
        if (redirect_count_ >= limit)
            return false;
        ++redirect_count_;
        return true;
    }

    exchange_id query_exchange_id() const
    {
        return query_exchange_id_;
    }

    /// Returns the number of queries that were sent for the ticket.
    std::uint32_t query_count() const
    {
        return query_count_;
    }

    void start_query(exchange_id exchange, endpoint holder)
    {
        phase_ = call_phase::querying;
        query_exchange_id_ = exchange;
        queried_peer_ = holder;
        ++query_count_;
    }

    /// Makes this call ignore the reply to the last ticket query, because the
    /// reply does not apply to a later ticket.
    void end_query()
    {
        query_exchange_id_ = {};
    }

    endpoint queried_peer() const
    {
        return queried_peer_;
    }

    /// Returns the time from which a second copy of the request may be sent;
    /// infinite once that time has passed, or when no copy may be sent.
    absl::Time hedge_at() const
    {
        return hedge_at_;
    }

    void set_hedge_at(absl::Time time)
    {
        hedge_at_ = time;
    }

private:
    call_received const call_;
    call_context const context_;
    fingerprint const fingerprint_;
    bool const unrepeatable_;
    absl::Time const received_at_;
    absl::Time const deadline_;
    call_phase phase_{call_phase::executing};
    std::optional<execution_ticket> ticket_;
    bool ticket_bound_to_key_{};
    bool may_have_run_{};
    std::uint32_t redirect_count_{};
    std::uint32_t attempts_left_;
    std::uint32_t attempts_made_{};
    std::list<call_id> callers_;
    std::list<sent_attempt> outstanding_attempts_;
    std::vector<endpoint> tried_peers_;
    exchange_id query_exchange_id_{};
    endpoint queried_peer_{};
    std::uint32_t query_count_{};
    absl::Time hedge_at_{absl::InfiniteFuture()};
};

} // namespace samphire
