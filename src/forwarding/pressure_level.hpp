#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Pressure of one upstream, steered by its queue: rises while a new request
/// would wait longer than a short target, falls while it would not. Keeps a
/// deep service busy without a queue that uses up the time of its callers.
class pressure_level
{
public:
    /// `wait`: what a new request would wait; `run_time`: mean execution;
    /// `utilization`: part of the slots that are taken; `refused`: part of the
    /// calls of running requests that was refused since the last update;
    /// `classes`: urgency classes that the policy knows.
    void update(
        absl::Duration wait,
        absl::Duration run_time,
        double utilization,
        double refused,
        double classes,
        absl::Time now)
    {
        absl::Duration const passed =
            std::min(now - updated_, longest_interval);
        updated_ = now;
        absl::Duration const target =
            std::max(run_time * target_share, least_target);
        // Urgent work may pass a short queue while calls of the less urgent
        // are refused, each with the work of its parent.
        double const error = std::clamp(
            std::max(absl::FDivDuration(wait, target), refused / most_refused) -
                1.0,
            -1.0,
            most_error);
        double const gain = error > 0                        ? rise
                            : utilization < idle_utilization ? idle_fall
                                                             : fall;
        level_ = std::clamp(
            level_ + error * gain * absl::ToDoubleSeconds(passed),
            0.0,
            std::max(classes - always_admitted, 0.0));
    }

    double level() const
    {
        return level_;
    }

private:
    /// A queue of half an execution keeps the slots filled.
    static constexpr double target_share = 1;
    static constexpr absl::Duration least_target = absl::Milliseconds(20);
    static constexpr absl::Duration longest_interval = absl::Milliseconds(250);
    /// Classes a second for each unit of error.
    static constexpr double rise = 0.6;
    static constexpr double fall = 1.2;
    /// With free slots too much is refused.
    static constexpr double idle_fall = 4;
    static constexpr double idle_utilization = 0.8;
    static constexpr double most_error = 3;
    /// Part of the calls whose refusal is borne.
    static constexpr double most_refused = 0.03;
    /// Part of the most urgent class that still finds out when it has passed.
    static constexpr double always_admitted = 0.1;

    double level_{};
    absl::Time updated_{absl::InfinitePast()};
};

} // namespace samphire
