#include "membership/update_queue.hpp"

#include "membership/record_order.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace samphire
{

unsigned update_queue::max_transmissions(std::size_t member_count)
{
    return 3 * static_cast<unsigned>(
                   std::bit_width(std::max<std::size_t>(member_count, 2)));
}

void update_queue::add(member_record const& record)
{
    insert(record, 0);
}

void update_queue::add_refresh(
    member_record const& record, std::size_t member_count)
{
    unsigned const limit = max_transmissions(member_count);
    auto const found = transmission_counts_.find(key_of(record));
    unsigned const initial_count =
        limit - std::min(limit, max_refresh_transmissions);
    insert(
        record,
        found == transmission_counts_.end()
            ? initial_count
            : std::min(found->second, initial_count));
}

void update_queue::erase(member_key const& key)
{
    auto const found = transmission_counts_.find(key);
    if (found == transmission_counts_.end())
        return;
    pending_records_.erase({found->second, key});
    transmission_counts_.erase(found);
}

std::vector<member_record>
update_queue::take_records(datagram_budget& budget, std::size_t member_count)
{
    unsigned const limit = max_transmissions(member_count);
    std::vector<member_record> taken;
    std::vector<unsigned> transmission_counts;
    for (auto const& [sort_key, record] : pending_records_)
    {
        if (!budget.try_reserve(record))
            break;
        taken.push_back(record);
        transmission_counts.push_back(sort_key.first + 1);
    }
    for (std::size_t i = 0; i < taken.size(); ++i)
    {
        erase(key_of(taken[i]));
        if (transmission_counts[i] < limit)
            insert(taken[i], transmission_counts[i]);
    }
    return taken;
}

void update_queue::insert(
    member_record const& record, unsigned transmission_count)
{
    member_key const key = key_of(record);
    erase(key);
    transmission_counts_.emplace(key, transmission_count);
    pending_records_.emplace(std::pair(transmission_count, key), record);
    if (pending_records_.size() > capacity)
    {
        auto const last = std::prev(pending_records_.end());
        transmission_counts_.erase(last->first.second);
        pending_records_.erase(last);
    }
}

} // namespace samphire
