#pragma once

#include "core/actions/answer_caller.hpp"
#include "daemon/daemon_state.hpp"
#include "daemon/event_ring.hpp"
#include "http/http_server.hpp"

#include <string>

namespace samphire
{

/// Runs the HTTP server for callers, the local upstream and operators, on the
/// duty thread "callers".
class caller_gateway
{
public:
    caller_gateway(
        http_server_settings settings, event_ring& events, daemon_state& state);

    void run();
    void stop();

    /// Sends the answer to its caller; any thread may call this function.
    void answer(answer_caller const& answer);

    /// Answers a GET /status request with the page; any thread may call this
    /// function.
    void answer_status(request_token token, std::string page);

    void on_request(request_token token, http_request const& request);
    void on_client_disconnected(request_token token);

private:
    void on_call(request_token token, http_request const& request);
    void on_announcement(request_token token, http_request const& request);
    void on_drain_request(request_token token, http_request const& request);
    void on_status_request(request_token token);
    http_response operator_endpoint_response(http_request const& request) const;

    event_ring& events_;
    daemon_state& state_;
    http_server<caller_gateway> server_;
};

} // namespace samphire
