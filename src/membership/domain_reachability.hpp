#pragma once

#include "base/domain_name.hpp"

#include <cstdint>

namespace samphire
{

/// Whether the sender's failure domain can reach another one. The sequence is
/// incremented with each change, so that the latest observation wins.
struct domain_reachability
{
    domain_name const domain_{};
    std::uint64_t const sequence_{};
    bool const reachable_{};

    friend bool operator==(
        domain_reachability const&, domain_reachability const&) = default;
};

} // namespace samphire
