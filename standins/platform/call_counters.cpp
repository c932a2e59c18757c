#include "platform/call_counters.hpp"

#include <fmt/format.h>

namespace samphire::standin
{

std::string call_counters::text() const
{
    return fmt::format(
        "platform_reads_total {}\n"
        "platform_writes_total {}\n"
        "platform_conflicts_total {}\n"
        "platform_refused_total {}\n"
        "platform_lost_answers_total {}\n"
        "platform_waiting_watches {}\n",
        reads_.load(),
        writes_.load(),
        conflicts_.load(),
        refused_.load(),
        lost_answers_.load(),
        waiting_watches_.load());
}

} // namespace samphire::standin
