#pragma once

#include "http/http_request.hpp"

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::standin
{

/// One request in progress at the stand-in.
struct upstream_work
{
    http_request const request_{};
    /// When its caller gives it up.
    absl::Time const deadline_{};
    /// Service time; zero until it has a slot.
    absl::Duration service_time_{};
    absl::Time started_{absl::InfiniteFuture()};
    /// Child calls that have ended well.
    std::size_t calls_done_{};
    bool call_in_progress_{};
};

} // namespace samphire::standin
