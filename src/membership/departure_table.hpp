#pragma once

#include "membership/member_key.hpp"
#include "membership/member_record.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace samphire
{

/// Daemon starts that ended gracefully, with the successor that holds their
/// execution records. Kept apart from the members, so that a replaced daemon
/// with the same id does not erase the departure of its earlier start.
class departure_table
{
public:
    static constexpr std::size_t capacity = 1024;
    /// Tickets of a departed start are refused after two epochs of 60 s; the
    /// rest covers epochs that are set longer.
    static constexpr absl::Duration lifetime = absl::Minutes(10);
    /// Shared for half the lifetime only: a daemon that dropped a departure
    /// does not get it back from one that learned it a little later.
    static constexpr absl::Duration shared_for = absl::Minutes(5);

    /// True when the departure is new here. `shared` is false for one learned
    /// from a full state, which the sender may have held for long.
    bool add(member_record const& record, bool shared, absl::Time now);
    void expire(absl::Time now);

    std::optional<endpoint> successor_of(member_key const& key) const;
    /// Departures that others may still need to learn.
    std::vector<member_record> shareable(absl::Time now) const;

    std::size_t size() const
    {
        return departures_.size();
    }

private:
    struct departure
    {
        member_record const record_;
        absl::Time const shared_until_;
    };

    std::map<member_key, departure> departures_;
    std::deque<std::pair<absl::Time, member_key>> order_;
};

} // namespace samphire
