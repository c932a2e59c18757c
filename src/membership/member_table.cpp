#include "membership/member_table.hpp"

#include "membership/record_order.hpp"

namespace samphire
{

merge_outcome member_table::merge(member_record const& record, absl::Time now)
{
    member_record const* const current = find(record.daemon_);
    bool const gone = record.status_ == member_status::gone;
    if (current == nullptr)
    {
        if (gone)
            return merge_outcome::ignored;
        if (members_.size() >= capacity)
        {
            ++ignored_members_;
            return merge_outcome::ignored;
        }
        replace_record(record, now);
        return merge_outcome::changed;
    }
    bool const same_incarnation = record.incarnation_ == current->incarnation_;
    if (supersedes(record, *current))
    {
        bool const was_gone = current->status_ == member_status::gone;
        replace_record(
            same_incarnation ? with_epoch(record, current->epoch_) : record,
            now);
        if (!gone)
            gone_record_expiry_times_.erase(record.daemon_);
        else if (!was_gone)
            gone_record_expiry_times_.emplace(
                record.daemon_, now + gone_lifetime);
        return merge_outcome::changed;
    }
    if (!same_incarnation || record.epoch_ <= current->epoch_)
        return merge_outcome::ignored;
    replace_record(
        with_epoch(*current, record.epoch_), changed_at(record.daemon_));
    return merge_outcome::refreshed;
}

void member_table::set_record(member_record const& record, absl::Time now)
{
    replace_record(record, now);
}

void member_table::remove_expired(absl::Time now)
{
    std::erase_if(
        gone_record_expiry_times_,
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

member_record const* member_table::find_by_address(endpoint address) const
{
    auto const found = daemons_by_address_.find(address);
    if (found == daemons_by_address_.end())
        return nullptr;
    member_record const* const member = find(found->second);
    bool const present = member != nullptr && member->endpoint_ == address &&
                         member->status_ != member_status::gone;
    return present ? member : nullptr;
}

absl::Time member_table::changed_at(daemon_id const& daemon) const
{
    auto const found = members_.find(daemon);
    return found == members_.end() ? absl::InfinitePast()
                                   : found->second.changed_at_;
}

void member_table::toggle_in_domain_digest(member_record const& record)
{
    if (record.status_ == member_status::gone)
        return;
    std::uint64_t& digest = domain_digests_[record.domain_];
    digest ^= digest_of(record);
    if (digest == 0)
        domain_digests_.erase(record.domain_);
}

void member_table::replace_record(
    member_record const& record, absl::Time changed_at)
{
    // `record` may refer to the entry that is erased below, so it is copied
    // first.
    member_entry const added{record, changed_at};
    auto const current = members_.find(added.record_.daemon_);
    if (current != members_.end())
    {
        auto const address =
            daemons_by_address_.find(current->second.record_.endpoint_);
        bool const owns_address = address != daemons_by_address_.end() &&
                                  address->second == added.record_.daemon_;
        if (owns_address)
            daemons_by_address_.erase(address);
        toggle_in_domain_digest(current->second.record_);
        members_.erase(current);
    }
    if (added.record_.status_ != member_status::gone)
        daemons_by_address_.insert_or_assign(
            added.record_.endpoint_, added.record_.daemon_);
    toggle_in_domain_digest(added.record_);
    members_.emplace(added.record_.daemon_, added);
}

} // namespace samphire
