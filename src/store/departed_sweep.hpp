#pragma once

#include "base/endpoint.hpp"
#include "store/daemon_reach.hpp"
#include "store/stored_upstream.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace samphire
{

/// Chooses objects of daemons that are gone for good, so that the store does
/// not grow with each VM that is replaced. A removal is conditional on the
/// object's revision, and a daemon that still lives writes its object again, so
/// a wrong choice costs two writes and nothing else.
class departed_sweep
{
public:
    /// `own`: address of this daemon; `started`: its start.
    departed_sweep(endpoint own, absl::Time started)
        : own_(own), started_(started)
    {
    }

    /// One object to remove, or nothing. `reach`: what this daemon sees of all
    /// others that it knows.
    std::optional<stored_upstream> choose(
        std::vector<stored_upstream> const& objects,
        std::vector<daemon_reach> const& reach,
        absl::Time now) const;

private:
    /// Longer than any cut between regions that the users tell of.
    static constexpr absl::Duration retention = absl::Minutes(30);

    /// One of the daemons in reach, the same in the view of all of them.
    bool
    is_chosen(endpoint departed, std::vector<daemon_reach> const& reach) const;

    endpoint const own_;
    absl::Time const started_;
};

} // namespace samphire
