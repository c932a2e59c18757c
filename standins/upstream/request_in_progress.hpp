#pragma once

#include "http/http_request.hpp"

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::standin
{

/// State of a request that the stand-in has not answered: deadline, service
/// time and child calls.
struct request_in_progress
{
    http_request const request_{};
    /// Time at which the timeout in the request header ends; the stand-in then
    /// answers 504.
    absl::Time const deadline_{};
    /// Time for which the request holds its slot before its child calls start;
    /// zero until the request has a slot.
    absl::Duration service_time_{};
    /// Time at which the request got a slot; infinite until then.
    absl::Time start_time_{absl::InfiniteFuture()};
    /// Number of child calls that succeeded.
    std::size_t succeeded_child_calls_{};
    bool has_child_call_in_progress_{};
};

} // namespace samphire::standin
