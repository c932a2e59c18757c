#pragma once

#include <cstdint>
#include <string>

namespace samphire
{

/// The operators' policy that the sender uses; answers a policy_request.
struct policy_notice
{
    std::uint64_t version_{};
    std::string document_{};

    friend bool
    operator==(policy_notice const&, policy_notice const&) = default;
};

} // namespace samphire
