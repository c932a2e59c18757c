#include "forwarding/room_estimate.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// A queue is worked off within this time.
constexpr absl::Duration drain_time = absl::Milliseconds(400);
// Most of the room that it takes: urgent work passes the queue.
constexpr double most_drain = 0.4;
// Queue that keeps the slots filled between two arrivals, as part of the slots.
constexpr double short_queue = 1;
// Change of the correction in a second: up with all slots free though requests
// are refused, down with a queue, which the drain has answered first.
constexpr double correction_rise = 1;
constexpr double correction_fall = 0.15;
// A run time that is off by more is about to be measured anew.
constexpr double least_correction = 0.6;
constexpr double most_correction = 1.5;
// After a pause of the process only so much of it counts.
constexpr absl::Duration longest_interval = absl::Milliseconds(250);
constexpr double per_kilosecond = 1000;

} // namespace

void room_estimate::update(
    std::uint32_t slots,
    std::uint32_t running,
    std::uint32_t queued,
    absl::Duration run_time,
    double asked,
    absl::Time now)
{
    double const passed =
        absl::ToDoubleSeconds(std::min(now - updated_, longest_interval));
    updated_ = now;
    if (run_time <= absl::ZeroDuration() || slots == 0)
    {
        rate_ = 0;
        return;
    }
    double const usual = slots / absl::ToDoubleSeconds(run_time);
    double const excess = std::max(0.0, queued - slots * short_queue);
    if (excess > 0)
        correction_ -= correction_fall * passed;
    else if (queued == 0 && asked > usual * correction_)
        correction_ += correction_rise * passed *
                       std::max(0.0, 1 - running / static_cast<double>(slots));
    else
        correction_ += (1 - correction_) * std::min(passed, 1.0);
    correction_ = std::clamp(correction_, least_correction, most_correction);
    double const good = usual * correction_;
    double const drain =
        std::min(excess / absl::ToDoubleSeconds(drain_time), good * most_drain);
    double const room = good - drain;
    // Never 0, which stands for unknown.
    rate_ =
        static_cast<std::uint32_t>(std::max(room, 0.0) * per_kilosecond) + 1;
}

} // namespace samphire
