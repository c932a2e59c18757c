#include "upstream/work_counters.hpp"

#include <fmt/format.h>

namespace samphire::standin
{

std::string work_counters::text() const
{
    return fmt::format(
        "upstream_started_total {}\n"
        "upstream_answered_total {}\n"
        "upstream_shed_total {}\n"
        "upstream_abandoned_total {}\n"
        "upstream_expired_total {}\n"
        "upstream_failed_calls_total {}\n"
        "upstream_crashes_total {}\n"
        "upstream_useful_work_us {}\n"
        "upstream_wasted_work_us {}\n",
        started_.load(),
        answered_.load(),
        shed_.load(),
        abandoned_.load(),
        expired_.load(),
        failed_calls_.load(),
        crashes_.load(),
        useful_microseconds_.load(),
        wasted_microseconds_.load());
}

} // namespace samphire::standin
