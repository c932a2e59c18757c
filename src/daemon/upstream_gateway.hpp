#pragma once

#include "core/actions/cancel_at_upstream.hpp"
#include "core/actions/start_at_upstream.hpp"
#include "daemon/event_ring.hpp"
#include "http/http_client.hpp"

namespace samphire
{

/// Duty "upstream": runs requests at the own upstream over HTTP. The upstream
/// repeats the Samphire-Execution header in the calls that it makes for the
/// request.
class upstream_gateway
{
public:
    upstream_gateway(std::size_t capacity, event_ring& events);

    void run();
    void stop();

    /// False when too much is in progress; nothing was sent then.
    bool start(start_at_upstream const& work);
    void cancel(cancel_at_upstream const& work);

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    event_ring& events_;
    http_client<upstream_gateway> client_;
};

} // namespace samphire
