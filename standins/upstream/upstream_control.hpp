#pragma once

namespace samphire::standin
{

/// Commands in the body of POST /control.
struct upstream_control
{
    /// Factor by which service times are multiplied; more than 1 makes the
    /// upstream slow.
    double const slowdown_{1};
    /// Whether to ask the daemon to drain the upstream.
    bool const drain_{};
    /// Whether the upstream crashes at once.
    bool const crash_{};

    friend bool
    operator==(upstream_control const&, upstream_control const&) = default;
};

} // namespace samphire::standin
