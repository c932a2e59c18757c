#pragma once

#include "platform/outage_kind.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::standin
{

/// Faults that the stand-in injects until POST /control replaces them.
struct fault_plan
{
    outage_kind const outage_{outage_kind::none};
    /// Time added to each answer; the call takes effect when it arrives.
    absl::Duration const delay_{};
    /// Share of the writes that take effect and lose their answer.
    std::uint32_t const lost_percent_{};
    /// Number of further writes that take effect and lose their answer.
    std::uint32_t const lost_count_{};

    friend bool operator==(fault_plan const&, fault_plan const&) = default;
};

} // namespace samphire::standin
