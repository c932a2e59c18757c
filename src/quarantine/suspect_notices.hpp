#pragma once

#include "messages/crash_suspects.hpp"

#include <absl/time/time.h>

#include <list>
#include <vector>

namespace samphire
{

/// Queue of notices of crash suspects to send to other daemons. Each notice is
/// sent several times, since datagrams can be lost.
class suspect_notices
{
public:
    void add(std::vector<crash_suspect> const& suspects, absl::Time now);

    /// Returns the messages that are due, each small enough for one datagram,
    /// and schedules their next copies.
    std::vector<crash_suspects> take_due_messages(absl::Time now);

    absl::Time next_deadline() const;

private:
    struct pending_notice
    {
        crash_suspects message_;
        absl::Time next_send_at_{};
        unsigned remaining_copies_{};
    };

    std::list<pending_notice> notices_;
};

} // namespace samphire
