#pragma once

#include "base/execution_id.hpp"
#include "base/request_id.hpp"
#include "policy/importance.hpp"
#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// A request that asks for a slot of the local upstream.
struct admission_request
{
    execution_id const execution_{};
    request_id const request_{};
    importance const importance_{importance::normal};
    work_class const work_class_{work_class::short_work};
    /// Number of calls above this request in the call chain; zero for a request
    /// of a caller.
    std::uint32_t const depth_{};
    absl::Time const deadline_{absl::InfiniteFuture()};
    /// True when the request must run with no other request in flight.
    bool const runs_alone_{};

    friend bool
    operator==(admission_request const&, admission_request const&) = default;
};

} // namespace samphire
