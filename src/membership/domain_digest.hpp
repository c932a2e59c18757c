#pragma once

#include "base/domain_name.hpp"

#include <cstdint>

namespace samphire
{

/// Digest of the member records of one failure domain, without the records of
/// gone members.
struct domain_digest
{
    domain_name const domain_{};
    std::uint64_t const digest_{};

    friend bool
    operator==(domain_digest const&, domain_digest const&) = default;
};

} // namespace samphire
