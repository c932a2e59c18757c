#pragma once

namespace samphire
{

/// Decision on a client's request at its entry.
struct admission_verdict
{
    bool admitted_{true};
    /// Requests like it, admitted or not, that it stands for.
    double weight_{1};
    /// Pressure that decided, in urgency classes.
    double level_{};

    friend bool
    operator==(admission_verdict const&, admission_verdict const&) = default;
};

} // namespace samphire
