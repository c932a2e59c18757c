#pragma once

#include "base/daemon_id.hpp"
#include "base/random_source.hpp"

#include <optional>
#include <vector>

namespace samphire
{

/// Random order in which members are probed: each member once before any is
/// probed again. Unlike independent draws, this bounds the time until a daemon
/// has probed each member.
class probe_order
{
public:
    /// The next member; nullopt when there is none. `refill` returns all
    /// members for the next pass.
    template <class Refill>
    std::optional<daemon_id> next(random_source& random, Refill refill)
    {
        if (remaining_.empty())
            remaining_ = refill();
        if (remaining_.empty())
            return std::nullopt;
        std::swap(remaining_[random() % remaining_.size()], remaining_.back());
        daemon_id const result = remaining_.back();
        remaining_.pop_back();
        return result;
    }

private:
    std::vector<daemon_id> remaining_;
};

} // namespace samphire
