#pragma once

#include "base/domain_name.hpp"
#include "base/revision.hpp"

#include <cstddef>
#include <map>

namespace samphire
{

/// Number of daemons that have each policy revision in force, in one failure
/// domain.
struct domain_rollout
{
    domain_name const domain_{};
    std::map<revision, std::size_t> const daemon_counts_{};

    friend bool
    operator==(domain_rollout const&, domain_rollout const&) = default;
};

} // namespace samphire
