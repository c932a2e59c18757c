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
    absl::Time const until = shared ? now + shared_for : now;
    if (!departures_.emplace(key, departure{record, until}).second)
        return false;
    order_.emplace_back(now, key);
    if (order_.size() > capacity)
    {
        departures_.erase(order_.front().second);
        order_.pop_front();
    }
    return true;
}

void departure_table::expire(absl::Time now)
{
    while (!order_.empty() && order_.front().first + lifetime <= now)
    {
        departures_.erase(order_.front().second);
        order_.pop_front();
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

std::vector<member_record> departure_table::shareable(absl::Time now) const
{
    std::vector<member_record> result;
    for (auto const& [key, held] : departures_)
    {
        if (held.shared_until_ > now)
            result.push_back(held.record_);
    }
    return result;
}

} // namespace samphire
