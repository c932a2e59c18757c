#pragma once

#include <cstdint>
#include <string>

namespace samphire
{

/// The current policy of the sender, sent to a daemon that has an older one.
struct policy_notice
{
    std::uint64_t version_{};
    std::string document_{};

    friend bool
    operator==(policy_notice const&, policy_notice const&) = default;
};

} // namespace samphire
