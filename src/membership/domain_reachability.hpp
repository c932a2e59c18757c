#pragma once

#include "base/domain_name.hpp"

#include <cstdint>

namespace samphire
{

/// Reports whether the failure domain of the sender can reach `domain_`.
/// `sequence_` is incremented with each change of the reachability, so that
/// receivers keep the latest report.
struct domain_reachability
{
    domain_name const domain_{};
    std::uint64_t const sequence_{};
    bool const reachable_{};

    friend bool operator==(
        domain_reachability const&, domain_reachability const&) = default;
};

} // namespace samphire
