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

/// Queue of member records to piggyback on messages, those sent least often
/// first. Each record is sent a bounded number of times, which reaches all
/// members with high probability; exchanges of member lists repair what is
/// missed.
class update_queue
{
public:
    /// Maximum number of queued records; above it the records sent most often
    /// are dropped. After a daemon merges a whole domain, exchanges of member
    /// lists disseminate the dropped records.
    static constexpr std::size_t capacity = 512;

    /// Returns how often one record is sent: 3 log2 of the member count,
    /// rounded up.
    static unsigned max_transmissions(std::size_t member_count);

    /// Adds a changed record, or replaces an older one of the same daemon
    /// incarnation.
    void add(member_record const& record);
    /// Adds a record that is not urgent, such as one with a new ticket epoch:
    /// it is sent after all changes and, unless a change of the member is
    /// pending, at most max_refresh_transmissions times.
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
