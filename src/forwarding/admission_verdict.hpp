#pragma once

namespace samphire
{

/// Whether the entry admits a client's request, with the values behind the
/// decision.
struct admission_verdict
{
    bool admitted_{true};
    /// Number of arrived requests, admitted or not, that an admitted request
    /// represents: 1 / (probability with which the request was admitted).
    double weight_{1};
    /// Pressure of the services in the call graph that the decision was based
    /// on, in urgency classes.
    double pressure_{};

    friend bool
    operator==(admission_verdict const&, admission_verdict const&) = default;
};

} // namespace samphire
