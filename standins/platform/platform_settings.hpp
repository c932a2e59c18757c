#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::standin
{

struct platform_settings
{
    endpoint const listen_{};
    std::uint64_t const seed_{1};
    /// Maximum calls per second, zero for no limit; a waiting watch counts as
    /// one read.
    std::uint64_t const max_reads_per_s_{2000};
    std::uint64_t const max_writes_per_s_{500};
    absl::Duration const max_watch_time_{absl::Seconds(10)};

    friend bool
    operator==(platform_settings const&, platform_settings const&) = default;
};

} // namespace samphire::standin
