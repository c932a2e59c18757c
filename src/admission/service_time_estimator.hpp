#pragma once

#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <array>

namespace samphire
{

/// Time that requests hold a slot, measured for each work class.
class service_time_estimator
{
public:
    /// A request ran for `time`; `complete` is false when it was cut short at
    /// its deadline, so that its full time is not known.
    void observe(
        work_class kind, absl::Duration time, bool complete, absl::Time now);

    /// Expected time; zero when nothing was measured. Fades without new
    /// measurements, so that a guard that sheds everything tries again.
    absl::Duration estimate(work_class kind, absl::Time now) const;

private:
    struct measured_time
    {
        absl::Duration mean_{};
        absl::Time at_{absl::InfinitePast()};
    };

    std::array<measured_time, 2> measured_;
};

} // namespace samphire
