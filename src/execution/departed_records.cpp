#include "execution/departed_records.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr std::size_t guard_capacity = 64;
constexpr std::size_t record_capacity = 131'072;
constexpr std::size_t answer_capacity_bytes = 16u << 20;

} // namespace

void departed_records::add(record_transfer const& part)
{
    auto found = std::find_if(
        departed_guards_.begin(),
        departed_guards_.end(),
        [&](departed_guard const& departed)
        {
            return departed.guard_ == part.guard_ &&
                   departed.incarnation_ == part.incarnation_;
        });
    if (found == departed_guards_.end())
        found = departed_guards_.insert(
            departed_guards_.end(),
            departed_guard{
                .guard_ = part.guard_, .incarnation_ = part.incarnation_});
    found->epoch_ = part.epoch_;
    found->total_records_ = part.total_records_;
    found->last_part_received_ =
        found->last_part_received_ || part.is_last_part_;
    for (answered_record const& record : part.records_)
    {
        bool const added =
            found->records_.emplace(record.nonce_, record).second;
        if (added && record.answer_)
            found->stored_answer_bytes_ += record.answer_->body_.size();
    }
    drop_oldest_guards();
}

ticket_lookup_result
departed_records::find(execution_ticket const& ticket) const
{
    for (departed_guard const& departed : departed_guards_)
    {
        if (departed.guard_ != ticket.guard_ ||
            departed.incarnation_ != ticket.incarnation_)
            continue;
        auto const record = departed.records_.find(ticket.nonce_);
        if (record != departed.records_.end())
            return {record->second.state_, record->second.answer_};
        bool const complete =
            departed.last_part_received_ &&
            departed.records_.size() == departed.total_records_;
        // The departed guard kept records of its last two epochs only, so an
        // absent ticket of an older epoch may have run.
        bool const retained = ticket.epoch_ == departed.epoch_ ||
                              ticket.epoch_.next() == departed.epoch_;
        if (complete && retained)
            return {ticket_state::closed, std::nullopt};
    }
    return {ticket_state::expired, std::nullopt};
}

void departed_records::drop_oldest_guards()
{
    std::size_t records = 0;
    std::size_t bytes = 0;
    for (departed_guard const& departed : departed_guards_)
    {
        records += departed.records_.size();
        bytes += departed.stored_answer_bytes_;
    }
    while (!departed_guards_.empty() &&
           (departed_guards_.size() > guard_capacity ||
            records > record_capacity || bytes > answer_capacity_bytes))
    {
        records -= departed_guards_.front().records_.size();
        bytes -= departed_guards_.front().stored_answer_bytes_;
        departed_guards_.pop_front();
    }
}

} // namespace samphire
