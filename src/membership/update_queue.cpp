#include "membership/update_queue.hpp"

#include "membership/record_order.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace samphire
{

unsigned update_queue::transmissions(std::size_t members)
{
    return 3 * static_cast<unsigned>(
                   std::bit_width(std::max<std::size_t>(members, 2)));
}

void update_queue::add(member_record const& record)
{
    insert(record, 0);
}

void update_queue::add_refresh(member_record const& record, std::size_t members)
{
    unsigned const limit = transmissions(members);
    auto const found = counts_.find(key_of(record));
    unsigned const sent = limit - std::min(limit, refresh_transmissions);
    insert(
        record, found == counts_.end() ? sent : std::min(found->second, sent));
}

void update_queue::erase(member_key const& key)
{
    auto const found = counts_.find(key);
    if (found == counts_.end())
        return;
    pending_.erase({found->second, key});
    counts_.erase(found);
}

std::vector<member_record>
update_queue::take(datagram_budget& budget, std::size_t members)
{
    unsigned const limit = transmissions(members);
    std::vector<member_record> taken;
    std::vector<unsigned> sent;
    for (auto const& [place, record] : pending_)
    {
        if (!budget.take(record))
            break;
        taken.push_back(record);
        sent.push_back(place.first + 1);
    }
    for (std::size_t i = 0; i < taken.size(); ++i)
    {
        erase(key_of(taken[i]));
        if (sent[i] < limit)
            insert(taken[i], sent[i]);
    }
    return taken;
}

void update_queue::insert(member_record const& record, unsigned sent)
{
    member_key const key = key_of(record);
    erase(key);
    counts_.emplace(key, sent);
    pending_.emplace(std::pair(sent, key), record);
    if (pending_.size() > capacity)
    {
        auto const last = std::prev(pending_.end());
        counts_.erase(last->first.second);
        pending_.erase(last);
    }
}

} // namespace samphire
