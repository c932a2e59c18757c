#pragma once

#include "base/domain_name.hpp"
#include "base/revision.hpp"

#include <cstddef>
#include <map>

namespace samphire
{

/// Number of daemons of one failure domain for each policy revision in force.
struct domain_rollout
{
    domain_name const domain_{};
    std::map<revision, std::size_t> const daemon_counts_{};

    friend bool
    operator==(domain_rollout const&, domain_rollout const&) = default;
};

} // namespace samphire
