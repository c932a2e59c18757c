#pragma once

#include <cstdint>

namespace samphire
{

/// Rate of requests that an upstream accepts from all daemons together.
struct rate_limit
{
    /// Whether the present upstream has been heard about it.
    bool is_known_{};
    /// Requests per 1,000 s; 0 when the upstream names no limit.
    std::uint32_t requests_per_ks_{};

    bool is_limited() const
    {
        return is_known_ && requests_per_ks_ > 0;
    }

    friend bool operator==(rate_limit const&, rate_limit const&) = default;
};

} // namespace samphire
