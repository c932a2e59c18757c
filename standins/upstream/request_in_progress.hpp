#pragma once

#include "http/http_request.hpp"

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::standin
{

/// Deadline, slot and child calls of a request that the stand-in has not
/// answered.
struct request_in_progress
{
    http_request const request_{};
    /// Time at which the caller abandons the request.
    absl::Time const deadline_{};
    /// Zero until the request has a slot.
    absl::Duration service_time_{};
    /// Infinite until the request has a slot.
    absl::Time start_time_{absl::InfiniteFuture()};
    /// Number of child calls that succeeded.
    std::size_t completed_calls_{};
    bool call_in_progress_{};
};

} // namespace samphire::standin
