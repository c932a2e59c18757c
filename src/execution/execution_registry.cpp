#include "execution/execution_registry.hpp"

#include <algorithm>

namespace samphire
{

static_assert(execution_policy<execution_registry>);

execution_registry::execution_registry(
    incarnation own_incarnation, registry_limits limits)
    : incarnation_(own_incarnation), limits_(limits)
{
}

ticket_lookup_result
execution_registry::accept(execution_ticket const& ticket, absl::Time now)
{
    advance_epoch(now);
    // The record of a running request is kept beyond the epoch of the ticket,
    // so records are searched before the epoch is checked.
    auto const found = records_.find(ticket.nonce_);
    if (found != records_.end())
        return lookup_result_of(found->second);
    if (tickets_accepted_in_epoch_ >=
        std::max<std::size_t>(1, limits_.max_records_ / 2))
        start_next_epoch(now);
    // A ticket that is refused because the table is full must stay refused,
    // because its sender is told that the ticket never runs. New epochs are
    // therefore started until the ticket has expired.
    while (records_.size() >= limits_.max_records_ && is_retained(ticket))
        start_next_epoch(now);
    if (!is_retained(ticket))
        return {ticket_state::expired, std::nullopt};
    ++tickets_accepted_in_epoch_;
    records_.emplace(
        ticket.nonce_, record{ticket_state::running, ticket.epoch_, nullptr});
    return {ticket_state::fresh, std::nullopt};
}

void execution_registry::record_answer(
    request_id const& nonce, stored_answer const& answer, absl::Time)
{
    auto const found = records_.find(nonce);
    if (found == records_.end())
        return;
    found->second.state_ = ticket_state::answered;
    found->second.answer_ = std::make_shared<stored_answer const>(answer);
    answered_nonces_.push_back(nonce);
    stored_answer_bytes_ += answer.body_.size();
    drop_answers_over_limit();
}

void execution_registry::close(request_id const& nonce, absl::Time)
{
    set_state(nonce, ticket_state::closed);
}

void execution_registry::record_unknown(request_id const& nonce, absl::Time)
{
    set_state(nonce, ticket_state::unknown);
}

ticket_lookup_result execution_registry::query(
    execution_ticket const& ticket, bool close, absl::Time now)
{
    advance_epoch(now);
    auto const found = records_.find(ticket.nonce_);
    if (found != records_.end())
        return lookup_result_of(found->second);
    if (!is_retained(ticket))
        return {ticket_state::expired, std::nullopt};
    if (!close)
        return {ticket_state::fresh, std::nullopt};
    // The ticket must be recorded as closed before "not run" is reported,
    // because the execute_request with the ticket may still arrive.
    if (accept(ticket, now).state_ != ticket_state::fresh)
        return {ticket_state::unknown, std::nullopt};
    set_state(ticket.nonce_, ticket_state::closed);
    return {ticket_state::closed, std::nullopt};
}

ticket_epoch execution_registry::epoch(absl::Time now)
{
    advance_epoch(now);
    return epoch_;
}

std::vector<answered_record> execution_registry::records() const
{
    std::vector<answered_record> result;
    for (auto const& [nonce, entry] : records_)
    {
        if (entry.state_ == ticket_state::closed)
            continue;
        ticket_lookup_result const lookup = lookup_result_of(entry);
        ticket_state const state = lookup.state_ == ticket_state::answered
                                       ? ticket_state::answered
                                       : ticket_state::unknown;
        result.push_back({nonce, state, lookup.answer_});
    }
    return result;
}

bool execution_registry::is_retained(execution_ticket const& ticket) const
{
    return ticket.incarnation_ == incarnation_ &&
           (ticket.epoch_ == epoch_ || ticket.epoch_.next() == epoch_);
}

void execution_registry::advance_epoch(absl::Time now)
{
    if (epoch_ends_at_ == absl::InfinitePast())
        epoch_ends_at_ = now + limits_.epoch_duration_;
    if (now >= epoch_ends_at_)
        start_next_epoch(now);
}

void execution_registry::start_next_epoch(absl::Time now)
{
    epoch_ = epoch_.next();
    epoch_ends_at_ = now + limits_.epoch_duration_;
    tickets_accepted_in_epoch_ = 0;
    drop_old_records();
}

void execution_registry::drop_old_records()
{
    absl::erase_if(
        records_,
        [&](auto const& entry)
        {
            record const& entry_record = entry.second;
            bool const current = entry_record.epoch_ == epoch_ ||
                                 entry_record.epoch_.next() == epoch_;
            // The record of a running request is kept until the request has
            // ended.
            bool const drop =
                !current && entry_record.state_ != ticket_state::running;
            if (drop && entry_record.answer_)
                stored_answer_bytes_ -= entry_record.answer_->body_.size();
            return drop;
        });
    std::erase_if(
        answered_nonces_,
        [&](request_id const& nonce) { return !records_.contains(nonce); });
}

void execution_registry::set_state(request_id const& nonce, ticket_state state)
{
    auto const found = records_.find(nonce);
    if (found != records_.end())
        found->second.state_ = state;
}

void execution_registry::drop_answers_over_limit()
{
    while (stored_answer_bytes_ > limits_.max_answer_bytes_ &&
           !answered_nonces_.empty())
    {
        record& oldest = records_.at(answered_nonces_.front());
        stored_answer_bytes_ -= oldest.answer_->body_.size();
        oldest.answer_.reset();
        answered_nonces_.pop_front();
    }
}

ticket_lookup_result execution_registry::lookup_result_of(record const& entry)
{
    if (entry.state_ != ticket_state::answered)
        return {entry.state_, std::nullopt};
    if (!entry.answer_)
        return {ticket_state::unknown, std::nullopt};
    return {ticket_state::answered, *entry.answer_};
}

} // namespace samphire
