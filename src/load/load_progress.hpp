#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Elapsed time and call counts of a run that the progress line shows.
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
