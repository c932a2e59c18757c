#pragma once

#include "base/endpoint.hpp"

#include <cstddef>
#include <vector>

namespace samphire
{

/// Decides which daemons of a failure domain watch the policy in the store. A
/// change answers each watch, and the platform charges for each call, so the
/// daemons that do not watch learn of a change from those that do. Each daemon
/// decides for itself by the daemons that it is connected to: when views
/// differ, a few more daemons watch for a while, and when a watching daemon
/// disappears, the next one takes its place.
class watch_election
{
public:
    /// `daemon`: the daemon that decides; `others`: the other daemons of its
    /// failure domain that can pass on what they learn.
    static bool
    is_watcher(endpoint daemon, std::vector<endpoint> const& others);

private:
    /// One more than is needed, since it takes up to 2 s to notice that the
    /// link to a daemon is dead.
    static constexpr std::size_t watchers_per_domain = 2;
};

} // namespace samphire
