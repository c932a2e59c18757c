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
    /// Delay of each answer; the call itself takes effect on arrival.
    absl::Duration const answer_delay_{};
    /// Percentage of the writes that take effect but get no answer.
    std::uint32_t const lost_answer_percent_{};
    /// Number of the next writes that take effect but get no answer.
    std::uint32_t const lost_answer_count_{};

    friend bool operator==(fault_plan const&, fault_plan const&) = default;
};

} // namespace samphire::standin
