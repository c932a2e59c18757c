#pragma once

#include "base/bounded_ring.hpp"
#include "http/request_token.hpp"
#include "metrics/metric_registry.hpp"
#include "tracing/span_store.hpp"

#include <mutex>
#include <string>

namespace samphire
{

/// Holds the metrics, trace spans and readiness that the HTTP endpoints for
/// operators show. The duty threads share one object.
class daemon_state
{
public:
    explicit daemon_state(std::size_t span_capacity) : spans_(span_capacity)
    {
    }

    metric_registry& metrics()
    {
        return metrics_;
    }

    span_store& spans()
    {
        return spans_;
    }

    void set_ready(bool ready, std::string reason)
    {
        std::scoped_lock const lock(mutex_);
        is_ready_ = ready;
        readiness_reason_ = std::move(reason);
    }

    bool is_ready() const
    {
        std::scoped_lock const lock(mutex_);
        return is_ready_;
    }

    std::string readiness_reason() const
    {
        std::scoped_lock const lock(mutex_);
        return readiness_reason_;
    }

    /// Returns the ring of GET /status requests that wait for the decisions
    /// thread, the only thread that may read daemon_core.
    bounded_ring<request_token>& status_requests()
    {
        return status_requests_;
    }

private:
    static constexpr std::size_t max_status_requests = 64;

    metric_registry metrics_;
    span_store spans_;
    std::mutex mutable mutex_;
    bool is_ready_{};
    std::string readiness_reason_{"starting"};
    bounded_ring<request_token> status_requests_{max_status_requests};
};

} // namespace samphire
