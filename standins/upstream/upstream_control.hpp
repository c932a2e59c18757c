#pragma once

namespace samphire::standin
{

/// What POST /control asks for.
struct upstream_control
{
    /// Factor on service times; a straggler has more than 1.
    double const slowdown_{1};
    /// Asks the daemon to drain.
    bool const drain_{};
    /// Crashes at once.
    bool const crash_{};

    friend bool
    operator==(upstream_control const&, upstream_control const&) = default;
};

} // namespace samphire::standin
