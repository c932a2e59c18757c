#pragma once

#include "base/service_name.hpp"
#include "policy/policy_document.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Hash of the document section of one service. Equivalent sections have the
/// same hash in every daemon.
struct policy_section
{
    service_name const service_{};
    std::uint64_t const hash_{};

    friend bool
    operator==(policy_section const&, policy_section const&) = default;
};

/// Returns the sections of the document, in the order of its services.
std::vector<policy_section> policy_sections(policy_document const& document);

} // namespace samphire
