#pragma once

#include "admission/admission_level.hpp"
#include "base/exchange_id.hpp"
#include "base/payload.hpp"
#include "base/ticket_epoch.hpp"
#include "messages/call_outcome.hpp"
#include "messages/outcome_reason.hpp"

#include <cstdint>

namespace samphire
{

/// Reports the outcome of one execute_request to the daemon that sent the
/// request.
struct execute_reply
{
    exchange_id const exchange_{};
    call_outcome const outcome_{};
    outcome_reason const reason_{};
    /// HTTP status of the upstream; zero unless the outcome is completed.
    std::uint16_t const status_{};
    payload const body_{};
    /// stable_hash() of the body. The receiver treats a reply whose body has
    /// another hash as lost.
    std::uint64_t const body_hash_{};
    /// Number of granted retries that the execution did not use.
    std::uint32_t const attempts_left_{};
    /// Highest admission level of the guard and of the calls that the
    /// execution made.
    admission_level const admission_level_{};
    /// Epoch that new tickets for the guard must carry.
    ticket_epoch const epoch_{};

    friend bool
    operator==(execute_reply const&, execute_reply const&) = default;
};

} // namespace samphire
