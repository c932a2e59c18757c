#pragma once

#include "store/watch_candidate.hpp"

#include <cstddef>
#include <vector>

namespace samphire
{

/// Decides which daemons of a failure domain watch the policy in the store. A
/// change answers each watch, and the platform charges for each call, so the
/// daemons that do not watch learn of a change from those that do. Each daemon
/// decides for itself by the daemons that it is connected to: when views
/// differ, a few more daemons watch for a while. When a watching daemon
/// disappears or loses the store, the next one takes its place; when none
/// reaches the store, those that would watch otherwise do.
class watch_election
{
public:
    /// `self`: the daemon that decides; `others`: the other daemons of its
    /// failure domain that can pass on what they learn.
    static bool is_watcher(
        watch_candidate const& self,
        std::vector<watch_candidate> const& others);

private:
    /// One more than is needed, since it takes up to 2 s to notice that the
    /// link to a daemon is dead.
    static constexpr std::size_t watchers_per_domain = 2;
    /// Maximum number of additional watchers, one for each daemon that has lost
    /// the store: those that take its place may have lost the store as well and
    /// notice it only when they call.
    static constexpr std::size_t max_spare_watchers = 6;
};

} // namespace samphire
