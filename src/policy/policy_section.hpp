#pragma once

#include "base/service_name.hpp"
#include "policy/policy_document.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Hash of the section of one service; the same in every daemon for sections
/// that say the same.
struct policy_section
{
    service_name const service_{};
    std::uint64_t const hash_{};

    friend bool
    operator==(policy_section const&, policy_section const&) = default;
};

/// Sections of the document, ordered as its services are.
std::vector<policy_section> policy_sections(policy_document const& document);

} // namespace samphire
