#pragma once

#include "base/bounded_ring.hpp"
#include "base/monotonic_clock.hpp"
#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "load/attempt_result.hpp"

#include <optional>

namespace samphire
{

/// Handler of the load tool's HTTP client: classifies each answer and queues
/// the result.
class attempt_result_handler
{
public:
    attempt_result_handler(
        std::size_t capacity,
        bool calls_upstreams_directly,
        monotonic_clock const& clock)
        : calls_upstreams_directly_(calls_upstreams_directly), clock_(clock),
          results_(capacity)
    {
    }

    /// Waits for the next result; returns nothing when none arrives within
    /// `timeout`.
    std::optional<attempt_result> next(absl::Duration timeout)
    {
        return results_.pop(timeout);
    }

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    bool const calls_upstreams_directly_;
    monotonic_clock const& clock_;
    bounded_ring<attempt_result> results_;
};

} // namespace samphire
