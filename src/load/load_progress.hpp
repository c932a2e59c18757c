#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// State of a run for the progress line.
struct load_progress
{
    absl::Duration const elapsed_{};
    std::uint64_t const arrivals_{};
    std::uint64_t const whole_answers_{};
    std::uint64_t const in_progress_{};

    friend bool
    operator==(load_progress const&, load_progress const&) = default;
};

} // namespace samphire
