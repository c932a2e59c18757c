#pragma once

namespace samphire
{

/// Decision whether the entry accepts a client's request.
struct admission_verdict
{
    bool admitted_{true};
    /// Number of arrived requests, admitted or not, that an admitted request
    /// represents: 1 over its admission probability.
    double weight_{1};
    /// Pressure that the decision was based on, in urgency classes.
    double pressure_{};

    friend bool
    operator==(admission_verdict const&, admission_verdict const&) = default;
};

} // namespace samphire
