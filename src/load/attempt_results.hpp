#pragma once

#include "base/bounded_ring.hpp"
#include "base/monotonic_clock.hpp"
#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "load/attempt_ended.hpp"

#include <optional>

namespace samphire
{

/// Handler of the load tool's HTTP client: reads each answer and passes it on.
class attempt_results
{
public:
    attempt_results(
        std::size_t capacity, bool direct, monotonic_clock const& clock)
        : direct_(direct), clock_(clock), ended_(capacity)
    {
    }

    /// Waits up to `timeout` for the next result.
    std::optional<attempt_ended> next(absl::Duration timeout)
    {
        return ended_.pop(timeout);
    }

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    bool const direct_;
    monotonic_clock const& clock_;
    bounded_ring<attempt_ended> ended_;
};

} // namespace samphire
