#pragma once

#include "base/service_name.hpp"
#include "forwarding/retry_window.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Limits the retries that this daemon sends to a service to a fixed ratio of
/// the requests that it has sent there in any time window. The retries of all
/// daemons together therefore stay below the operators' ratio, however many
/// requests fail. Unused retries remain available for a burst of failures
/// within the same window.
class retry_allowance
{
public:
    /// `ratio`: retries per request of the service that the operators allow;
    /// `burst`: number of retries allowed in addition; `window`: the operators'
    /// time window.
    retry_allowance(double ratio, double burst, absl::Duration window)
        : retry_ratio_(ratio), max_burst_retries_(burst), window_length_(window)
    {
    }

    /// Sets the burst to at least 1: without it no retry would ever be
    /// possible at a low request rate.
    void set_max_burst_retries(double burst)
    {
        max_burst_retries_ = std::max(burst, 1.0);
    }

    /// Counts a request, which earns a fraction of a retry. `has_calls`:
    /// whether upstreams make calls to other services for the request. A retry
    /// of the request would also retry those calls, so the fraction is smaller.
    void on_request(service_name const& service, bool has_calls, absl::Time now)
    {
        window_for(service).earn_retries(
            retry_ratio_ * (has_calls ? root_ratio_factor : call_ratio_factor),
            now);
    }

    /// Counts a call made by the execution of a retried request; such a call is
    /// itself a retry.
    void on_call_of_retry(service_name const& service, absl::Time now)
    {
        window_for(service).spend_retry(now);
    }

    /// Claims one retry of a request of the service. Returns false when no
    /// retry is available.
    bool claim_retry(service_name const& service, absl::Time now)
    {
        retry_window& used = window_for(service);
        if (used.spent_retries(now) + 1 >
            used.earned_retries(now) + max_burst_retries_)
            return false;
        used.spend_retry(now);
        return true;
    }

private:
    /// Ratio of the allowed retries that this daemon uses for requests without
    /// and with calls to other services. The rest is a margin for retries that
    /// other daemons send at the edge of a time window.
    static constexpr double call_ratio_factor = 0.7;
    static constexpr double root_ratio_factor = 0.25;

    retry_window& window_for(service_name const& service)
    {
        return windows_by_service_.try_emplace(service, window_length_)
            .first->second;
    }

    double const retry_ratio_;
    double max_burst_retries_;
    absl::Duration const window_length_;
    /// Retries earned and spent within the last time window, by the service
    /// that the requests go to.
    absl::flat_hash_map<service_name, retry_window> windows_by_service_;
};

} // namespace samphire
