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

/// Keeps the records of daemon incarnations that ended gracefully, each with
/// the successor that holds its execution records. The departures are kept
/// separate from the members, so that a restarted daemon with the same id does
/// not erase the departure of its earlier incarnation.
class departure_table
{
public:
    static constexpr std::size_t capacity = 1024;
    /// Time for which a departure is kept. Tickets of a departed incarnation
    /// are refused after two epochs of 60 s; the remaining time allows for
    /// epochs that are configured longer.
    static constexpr absl::Duration lifetime = absl::Minutes(10);
    /// Time for which a departure is shared with other daemons. This time is
    /// half of the lifetime, so that a daemon that has dropped the departure
    /// does not receive it again from a daemon that learned it a little later.
    static constexpr absl::Duration sharing_period = absl::Minutes(5);

    /// Adds the departure of an incarnation. Returns true when the departure
    /// was unknown. `shared` is false for a departure from a member list that a
    /// daemon of the same domain sent, since the sender may have known the
    /// departure for a long time.
    bool add(member_record const& record, bool shared, absl::Time now);
    void remove_expired(absl::Time now);

    std::optional<endpoint> successor_of(member_key const& key) const;
    /// Returns the departures whose sharing period has not passed.
    std::vector<member_record> departures_to_share(absl::Time now) const;

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
    /// Insertion time and key of each departure, oldest first.
    std::deque<std::pair<absl::Time, member_key>> insertion_order_;
};

} // namespace samphire
