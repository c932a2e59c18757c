#pragma once

#include "child_call.hpp"
#include "core/event.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace samphire::fake
{

/// Service, slots, service time and child calls of a fake upstream.
struct upstream_model
{
    service_name const service_{};
    std::uint32_t const slots_{10};
    absl::Duration const service_time_{absl::Milliseconds(10)};
    std::vector<child_call> const child_calls_{};

    friend bool
    operator==(upstream_model const&, upstream_model const&) = default;
};

} // namespace samphire::fake
