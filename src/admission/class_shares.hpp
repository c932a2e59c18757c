#pragma once

#include "admission/admission_request.hpp"
#include "admission/demand_meter.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Divides the slots: short work keeps a reserve that long work never holds,
/// long work has its share when it waits, and critical work has a floor that
/// others cannot take.
class class_shares
{
public:
    void offered(
        admission_request const& request,
        absl::Duration run_time,
        absl::Time now);
    void started(admission_request const& request);
    void finished(admission_request const& request);

    /// Slots that long work may hold, of `limit`.
    std::uint32_t long_share(std::uint32_t limit, absl::Time now) const;
    /// Slots of `limit` that work of class `other` must leave to critical work.
    std::uint32_t
    critical_floor(work_class other, std::uint32_t limit, absl::Time now) const;

    /// True when the request may take a slot now; `long_waiting` is the number
    /// of queued requests of long work.
    bool may_start(
        admission_request const& request,
        std::uint32_t limit,
        std::size_t long_waiting,
        absl::Time now) const;

private:
    std::size_t running(work_class kind) const
    {
        return running_[static_cast<std::size_t>(kind)];
    }

    double demand(work_class kind, absl::Time now) const
    {
        return demand_[static_cast<std::size_t>(kind)].slots(now);
    }

    std::array<demand_meter, 2> demand_;
    demand_meter critical_demand_;
    std::array<std::size_t, 2> running_{};
    std::size_t critical_running_{};
};

} // namespace samphire
