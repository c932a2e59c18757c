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
// Interval at which the telemetry thread polls its ring of items, because
// waking the thread for each span costs 5% of the daemon's CPU time. A ring of
// 4,096 items per interval allows 40,000 items per second.
constexpr absl::Duration poll_interval = absl::Milliseconds(100);

} // namespace

telemetry::telemetry(log_level minimum, daemon_state& state)
    : minimum_level_(minimum), state_(state), items_(ring_capacity)
{
}

void telemetry::run()
{
    for (;;)
    {
        auto const item = items_.pop(poll_interval);
        if (!item && items_.closed())
            return;
        if (!item)
            continue;
        if (auto const* const finished_span =
                std::get_if<span>(&item->content_))
        {
            state_.spans().add(*finished_span);
            continue;
        }
        log_event const& event = std::get<log_event>(item->content_);
        if (event.level_ >= minimum_level_)
            fmt::print(
                stderr, "{}\n", format_log_line(event, item->decided_at_));
    }
}

void telemetry::stop()
{
    items_.close();
}

void telemetry::report(telemetry_item item)
{
    if (!items_.try_push_without_notify(std::move(item)))
        state_.metrics().add("telemetry_dropped_total");
}

} // namespace samphire
