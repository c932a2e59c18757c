#include "membership/member_table.hpp"

#include "membership/record_order.hpp"

namespace samphire
{

merge_outcome member_table::merge(member_record const& record, absl::Time now)
{
    member_record const* const held = find(record.daemon_);
    bool const gone = record.status_ == member_status::gone;
    if (held == nullptr)
    {
        if (gone)
            return merge_outcome::ignored;
        if (members_.size() >= capacity)
        {
            ++ignored_;
            return merge_outcome::ignored;
        }
        replace(record, now);
        return merge_outcome::changed;
    }
    bool const same_start = record.incarnation_ == held->incarnation_;
    if (supersedes(record, *held))
    {
        bool const was_gone = held->status_ == member_status::gone;
        replace(same_start ? with_epoch(record, held->epoch_) : record, now);
        if (!gone)
            gone_until_.erase(record.daemon_);
        else if (!was_gone)
            gone_until_.emplace(record.daemon_, now + gone_lifetime);
        return merge_outcome::changed;
    }
    if (!same_start || record.epoch_ <= held->epoch_)
        return merge_outcome::ignored;
    replace(with_epoch(*held, record.epoch_), changed(record.daemon_));
    return merge_outcome::refreshed;
}

void member_table::set(member_record const& record, absl::Time now)
{
    replace(record, now);
}

void member_table::expire(absl::Time now)
{
    std::erase_if(
        gone_until_,
        [&](auto const& gone)
        {
            if (gone.second > now)
                return false;
            members_.erase(gone.first);
            return true;
        });
}

member_record const* member_table::find(daemon_id const& daemon) const
{
    auto const found = members_.find(daemon);
    return found == members_.end() ? nullptr : &found->second.record_;
}

member_record const* member_table::at(endpoint address) const
{
    auto const found = addresses_.find(address);
    if (found == addresses_.end())
        return nullptr;
    member_record const* const member = find(found->second);
    bool const present = member != nullptr && member->endpoint_ == address &&
                         member->status_ != member_status::gone;
    return present ? member : nullptr;
}

absl::Time member_table::changed(daemon_id const& daemon) const
{
    auto const found = members_.find(daemon);
    return found == members_.end() ? absl::InfinitePast()
                                   : found->second.changed_;
}

void member_table::toggle_digest(member_record const& record)
{
    if (record.status_ == member_status::gone)
        return;
    std::uint64_t& digest = digests_[record.domain_];
    digest ^= digest_of(record);
    if (digest == 0)
        digests_.erase(record.domain_);
}

void member_table::replace(member_record const& record, absl::Time changed)
{
    // `record` may be the held one with another field, so it is copied first.
    entry const added{record, changed};
    auto const held = members_.find(added.record_.daemon_);
    if (held != members_.end())
    {
        auto const address = addresses_.find(held->second.record_.endpoint_);
        bool const own = address != addresses_.end() &&
                         address->second == added.record_.daemon_;
        if (own)
            addresses_.erase(address);
        toggle_digest(held->second.record_);
        members_.erase(held);
    }
    if (added.record_.status_ != member_status::gone)
        addresses_.insert_or_assign(
            added.record_.endpoint_, added.record_.daemon_);
    toggle_digest(added.record_);
    members_.emplace(added.record_.daemon_, added);
}

} // namespace samphire
