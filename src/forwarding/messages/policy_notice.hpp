#pragma once

#include <cstdint>
#include <string>

namespace samphire
{

/// The operators' policy that the sender uses; sent to a daemon that has an
/// older version.
struct policy_notice
{
    std::uint64_t version_{};
    std::string document_{};

    friend bool
    operator==(policy_notice const&, policy_notice const&) = default;
};

} // namespace samphire
