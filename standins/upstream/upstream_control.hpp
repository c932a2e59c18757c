#pragma once

namespace samphire::standin
{

/// Body of POST /control.
struct upstream_control
{
    /// Factor on service times; a slow upstream has more than 1.
    double const slowdown_{1};
    /// Whether to ask the daemon to drain the upstream.
    bool const drain_{};
    /// Whether to crash at once.
    bool const crash_{};

    friend bool
    operator==(upstream_control const&, upstream_control const&) = default;
};

} // namespace samphire::standin
