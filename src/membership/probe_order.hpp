#pragma once

#include "base/daemon_id.hpp"
#include "base/random_source.hpp"

#include <optional>
#include <vector>

namespace samphire
{

/// Chooses the members to probe in random order: each member once before any
/// member is probed again. Unlike independent draws, this order bounds the time
/// until a daemon has probed each member.
class probe_order
{
public:
    /// Returns the next member to probe; nullopt when there is none. `refill`
    /// returns all members for the next pass.
    template <class Refill>
    std::optional<daemon_id> next(random_source& random, Refill refill)
    {
        if (remaining_members_.empty())
            remaining_members_ = refill();
        if (remaining_members_.empty())
            return std::nullopt;
        std::swap(
            remaining_members_[random() % remaining_members_.size()],
            remaining_members_.back());
        daemon_id const result = remaining_members_.back();
        remaining_members_.pop_back();
        return result;
    }

private:
    std::vector<daemon_id> remaining_members_;
};

} // namespace samphire
