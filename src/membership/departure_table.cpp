#include "membership/departure_table.hpp"

#include "membership/record_order.hpp"

namespace samphire
{

bool departure_table::add(
    member_record const& record, bool shared, absl::Time now)
{
    if (record.status_ != member_status::gone || record.successor_.empty())
        return false;
    member_key const key = key_of(record);
    absl::Time const shared_until = shared ? now + sharing_period : now;
    if (!departures_.emplace(key, departure{record, shared_until}).second)
        return false;
    insertion_order_.emplace_back(now, key);
    if (insertion_order_.size() > capacity)
    {
        departures_.erase(insertion_order_.front().second);
        insertion_order_.pop_front();
    }
    return true;
}

void departure_table::remove_expired(absl::Time now)
{
    while (!insertion_order_.empty() &&
           insertion_order_.front().first + lifetime <= now)
    {
        departures_.erase(insertion_order_.front().second);
        insertion_order_.pop_front();
    }
}

std::optional<endpoint>
departure_table::successor_of(member_key const& key) const
{
    auto const found = departures_.find(key);
    if (found == departures_.end())
        return std::nullopt;
    return found->second.record_.successor_;
}

std::vector<member_record>
departure_table::departures_to_share(absl::Time now) const
{
    std::vector<member_record> result;
    for (auto const& [key, entry] : departures_)
    {
        if (entry.shared_until_ > now)
            result.push_back(entry.record_);
    }
    return result;
}

} // namespace samphire
