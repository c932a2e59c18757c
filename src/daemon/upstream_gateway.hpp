#pragma once

#include "core/actions/cancel_at_upstream.hpp"
#include "core/actions/start_at_upstream.hpp"
#include "daemon/event_ring.hpp"
#include "http/http_client.hpp"

#include <atomic>

namespace samphire
{

/// Sends requests to the local upstream over HTTP, on the duty thread
/// "upstream". The upstream copies the Samphire-Execution header into the calls
/// that it makes for the request, and should copy it into its answer: a late
/// second copy of an answer is then told from the answer to the next request.
/// Connections to an upstream that does not do so are used for one request
/// only.
class upstream_gateway
{
public:
    upstream_gateway(std::size_t capacity, event_ring& events);

    void run();
    void stop();

    /// Sends a request to the upstream. Returns false, and sends nothing, when
    /// the command ring of the HTTP client is full.
    bool start(start_at_upstream const& command);
    void cancel(cancel_at_upstream const& command);

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    event_ring& events_;
    /// Whether the last answer had the Samphire-Execution header.
    std::atomic<bool> echoes_execution_{};
    http_client<upstream_gateway> client_;
};

} // namespace samphire
