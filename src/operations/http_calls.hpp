#pragma once

#include "base/bounded_ring.hpp"
#include "base/duty_thread.hpp"
#include "http/http_client.hpp"
#include "operations/http_exchange.hpp"

#include <optional>
#include <vector>

namespace samphire
{

/// Sends requests to daemons for a program that waits for the responses. The
/// requests run on a thread of their own, "daemons"; send_all() is for one
/// thread.
class http_calls
{
public:
    http_calls();
    ~http_calls();

    /// One entry for each request, in the same order; nothing where there was
    /// no complete response.
    std::vector<std::optional<http_response>>
    send_all(std::vector<outgoing_request> const& requests);

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    /// Requests in progress; more wait for an earlier one to end.
    static constexpr std::size_t capacity = 64;

    request_token last_{};
    bounded_ring<http_exchange> ended_{2 * capacity};
    http_client<http_calls> client_;
    duty_thread thread_;
};

} // namespace samphire
