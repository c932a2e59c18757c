#pragma once

#include "base/endpoint.hpp"
#include "base/exchange_id.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// One execute_request that has no reply yet.
struct sent_attempt
{
    exchange_id const exchange_{};
    endpoint const peer_{};
    absl::Time const sent_at_{};
    /// Extra attempts that the request allows the guard's execution to use.
    std::uint32_t const granted_attempts_{};

    friend bool operator==(sent_attempt const&, sent_attempt const&) = default;
};

} // namespace samphire
