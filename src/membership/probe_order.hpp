#pragma once

#include "base/daemon_id.hpp"
#include "base/random_source.hpp"

#include <optional>
#include <vector>

namespace samphire
{

/// Random order in which members are probed, each once before any again. This
/// bounds the time until each member is probed by a given daemon, which
/// independent draws do not.
class probe_order
{
public:
    /// The next member. `refill` gives all members when a pass has ended.
    template <class Refill>
    std::optional<daemon_id> next(random_source& random, Refill refill)
    {
        if (left_.empty())
            left_ = refill();
        if (left_.empty())
            return std::nullopt;
        std::swap(left_[random() % left_.size()], left_.back());
        daemon_id const result = left_.back();
        left_.pop_back();
        return result;
    }

private:
    std::vector<daemon_id> left_;
};

} // namespace samphire
