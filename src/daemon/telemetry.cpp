#include "daemon/telemetry.hpp"

#include "logging/log_line.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace samphire
{

namespace
{

constexpr std::size_t ring_capacity = 4096;

} // namespace

telemetry::telemetry(log_level minimum, daemon_state& state)
    : minimum_(minimum), state_(state), items_(ring_capacity)
{
}

void telemetry::run()
{
    for (;;)
    {
        auto const item = items_.pop(absl::Hours(1));
        if (!item && items_.closed())
            return;
        if (!item)
            continue;
        if (auto const* const finished = std::get_if<span>(&item->content_))
        {
            state_.spans().add(*finished);
            continue;
        }
        log_event const& event = std::get<log_event>(item->content_);
        if (event.level_ >= minimum_)
            fmt::print(stderr, "{}\n", format_log_line(event, item->at_));
    }
}

void telemetry::stop()
{
    items_.close();
}

void telemetry::report(telemetry_item item)
{
    if (!items_.try_push(std::move(item)))
        state_.metrics().add("telemetry_dropped_total");
}

} // namespace samphire
