#pragma once

#include "membership/datagram_budget.hpp"
#include "membership/member_key.hpp"
#include "membership/member_record.hpp"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace samphire
{

/// Queues member records to piggyback on messages, and sends those first that
/// were sent least often. Each record is sent a bounded number of times, which
/// reaches all members with high probability; exchanges of member lists repair
/// what is missed.
class update_queue
{
public:
    /// Maximum number of queued records. Above the maximum, the records that
    /// were sent most often are dropped, for example when a daemon merges the
    /// records of a whole domain. Other members then receive the dropped
    /// records in exchanges of member lists.
    static constexpr std::size_t capacity = 512;

    /// Returns how many times one record is sent: 3 *
    /// bit_width(max(member_count, 2)).
    static unsigned max_transmissions(std::size_t member_count);

    /// Adds a changed record, or replaces an older one of the same daemon
    /// incarnation.
    void add(member_record const& record);
    /// Adds a record that is not urgent, such as one with a new ticket epoch.
    /// The record is sent after all changes and at most
    /// max_refresh_transmissions times, unless a change of the same member is
    /// queued.
    void add_refresh(member_record const& record, std::size_t member_count);
    void erase(member_key const& key);

    /// Returns as many records as fit into the budget, each once, and counts
    /// them as sent.
    std::vector<member_record>
    take_records(datagram_budget& budget, std::size_t member_count);

    std::size_t size() const
    {
        return transmission_counts_.size();
    }

private:
    static constexpr unsigned max_refresh_transmissions = 3;

    void insert(member_record const& record, unsigned transmission_count);

    std::map<member_key, unsigned> transmission_counts_;
    /// Queued records, keyed by the number of transmissions so far, then by the
    /// member.
    std::map<std::pair<unsigned, member_key>, member_record> pending_records_;
};

} // namespace samphire
