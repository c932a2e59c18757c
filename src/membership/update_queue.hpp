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

/// Records that still have to be piggybacked, those sent least often first.
/// Each is sent a bounded number of times, which reaches all members with high
/// probability; the rest learn it by comparing full states.
class update_queue
{
public:
    /// Above this number the records sent most often are dropped; a daemon
    /// that merges a whole domain relies on full states instead.
    static constexpr std::size_t capacity = 512;

    /// Sends of one record among `members`: 3 log2 n, rounded up.
    static unsigned transmissions(std::size_t members);

    /// Adds a change, or replaces an older one of the same daemon start.
    void add(member_record const& record);
    /// Adds a record that may wait, such as a new epoch: it is sent after all
    /// changes and only a few times.
    void add_refresh(member_record const& record, std::size_t members);
    void erase(member_key const& key);

    /// Takes as many records as fit, each once, and counts them as sent.
    std::vector<member_record>
    take(datagram_budget& budget, std::size_t members);

    std::size_t size() const
    {
        return counts_.size();
    }

private:
    static constexpr unsigned refresh_transmissions = 3;

    void insert(member_record const& record, unsigned sent);

    std::map<member_key, unsigned> counts_;
    std::map<std::pair<unsigned, member_key>, member_record> pending_;
};

} // namespace samphire
