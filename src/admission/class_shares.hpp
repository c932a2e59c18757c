#pragma once

#include "admission/admission_request.hpp"
#include "admission/demand_meter.hpp"

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Divides the slots between work classes: short work has a reserve that long
/// work never holds, long work has a share that short work may use only while
/// no long work waits for it, and critical work has a reserve that other work
/// cannot take.
class class_shares
{
public:
    void on_offered(
        admission_request const& request,
        absl::Duration run_time,
        absl::Time now);
    void on_started(admission_request const& request);
    void on_finished(admission_request const& request);

    /// Returns how many of the `limit` slots long work may hold.
    std::uint32_t max_long_slots(std::uint32_t limit, absl::Time now) const;
    /// Returns how many of the `limit` slots noncritical work of
    /// `requesting_class` must leave to critical work.
    std::uint32_t reserved_critical_slots(
        work_class requesting_class, std::uint32_t limit, absl::Time now) const;

    /// Returns true when the request may take a slot now.
    /// `queued_long_requests` is the number of queued requests of long work.
    bool may_start(
        admission_request const& request,
        std::uint32_t limit,
        std::size_t queued_long_requests,
        absl::Time now) const;

private:
    std::size_t running(work_class kind) const
    {
        return running_requests_by_class_[static_cast<std::size_t>(kind)];
    }

    double demand(work_class kind, absl::Time now) const
    {
        return demand_by_class_[static_cast<std::size_t>(kind)].required_slots(
            now);
    }

    std::array<demand_meter, 2> demand_by_class_;
    demand_meter critical_demand_;
    std::array<std::size_t, 2> running_requests_by_class_{};
    std::size_t running_critical_requests_{};
};

} // namespace samphire
