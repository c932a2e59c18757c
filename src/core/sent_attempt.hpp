#pragma once

#include "base/endpoint.hpp"
#include "base/exchange_id.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// An execute_request that was sent to a guard and has no reply yet.
struct sent_attempt
{
    exchange_id const exchange_{};
    endpoint const peer_{};
    absl::Time const sent_at_{};
    /// Maximum number of retries that the calls of the execution may make
    /// together, as stated in the execute_request.
    std::uint32_t const granted_attempts_{};

    friend bool operator==(sent_attempt const&, sent_attempt const&) = default;
};

} // namespace samphire
