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

/// State of one call between its arrival and its answer.
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
          deadline_(now + context_.remaining_),
          attempts_left_(context_.attempts_left_), callers_{call_.call_}
    {
        if (call_.ticket_)
            ticket_.emplace(*call_.ticket_);
    }

    call_received const& call() const
    {
        return call_;
    }

    /// Context of the call as it was received; its trace holds this hop's span.
    call_context const& context() const
    {
        return context_;
    }

    /// Calls that get the answer: this one and those that joined it.
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
        std::list<call_id> kept;
        for (call_id const held : callers_)
        {
            if (held != caller)
                kept.push_back(held);
        }
        callers_.swap(kept);
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

    /// True when the ticket came from outside, so that other messages may
    /// carry it and it cannot be replaced.
    bool ticket_shared() const
    {
        return call_.ticket_.has_value() || ticket_bound_;
    }

    /// True when the platform holds the ticket under the caller's key.
    bool ticket_bound() const
    {
        return ticket_bound_;
    }

    std::optional<execution_ticket> const& ticket() const
    {
        return ticket_;
    }

    void set_ticket(execution_ticket const& ticket)
    {
        ticket_.emplace(ticket);
    }

    /// The platform holds the ticket under the caller's key.
    void bind_ticket(execution_ticket const& ticket)
    {
        ticket_.emplace(ticket);
        ticket_bound_ = true;
    }

    /// True once an attempt ended that may have run the request.
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

    void take_attempts(std::uint32_t count)
    {
        attempts_left_ -= std::min(count, attempts_left_);
    }

    void return_attempts(std::uint32_t count)
    {
        attempts_left_ += count;
    }

    std::uint32_t attempts_made() const
    {
        return attempts_made_;
    }

    std::list<sent_attempt> const& outstanding() const
    {
        return outstanding_;
    }

    std::vector<endpoint> const& tried() const
    {
        return tried_;
    }

    void add_attempt(sent_attempt const& attempt)
    {
        ++attempts_made_;
        tried_.push_back(attempt.peer_);
        outstanding_.push_back(attempt);
    }

    /// Removes and returns the attempt; nothing when it is not outstanding.
    std::optional<sent_attempt> remove_attempt(exchange_id exchange)
    {
        std::optional<sent_attempt> result;
        for (auto it = outstanding_.begin(); it != outstanding_.end(); ++it)
        {
            if (it->exchange_ != exchange)
                continue;
            result.emplace(*it);
            outstanding_.erase(it);
            break;
        }
        return result;
    }

    /// When an unanswered ticket is queried. Calls with a short timeout keep
    /// most of it for the execution.
    absl::Time query_at(absl::Duration margin) const
    {
        return deadline_ - std::min(margin, (deadline_ - received_at_) / 4);
    }

    fingerprint request_hash() const
    {
        return fingerprint_;
    }

    /// Counts one redirect; false when `limit` of them were made.
    bool take_redirect(std::uint32_t limit)
    {
        if (redirects_ >= limit)
            return false;
        ++redirects_;
        return true;
    }

    exchange_id query_exchange() const
    {
        return query_exchange_;
    }

    /// Queries sent for the ticket.
    std::uint32_t queries() const
    {
        return queries_;
    }

    void start_query(exchange_id exchange, endpoint holder)
    {
        phase_ = call_phase::querying;
        query_exchange_ = exchange;
        query_holder_ = holder;
        ++queries_;
    }

    /// The reply to an earlier query says nothing of a later ticket.
    void end_query()
    {
        query_exchange_ = {};
    }

    endpoint query_holder() const
    {
        return query_holder_;
    }

    /// When a second copy may be sent; infinite once it was, or for never.
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
    bool ticket_bound_{};
    bool may_have_run_{};
    std::uint32_t redirects_{};
    std::uint32_t attempts_left_;
    std::uint32_t attempts_made_{};
    std::list<call_id> callers_;
    std::list<sent_attempt> outstanding_;
    std::vector<endpoint> tried_;
    exchange_id query_exchange_{};
    endpoint query_holder_{};
    std::uint32_t queries_{};
    absl::Time hedge_at_{absl::InfiniteFuture()};
};

} // namespace samphire
