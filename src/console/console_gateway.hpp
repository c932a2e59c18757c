#pragma once

#include "base/bounded_ring.hpp"
#include "console/console_request.hpp"
#include "http/http_server.hpp"

namespace samphire
{

/// Duty "browsers": receives the HTTP requests of browsers and passes them to
/// the thread that answers them, since an answer may wait for the platform and
/// the daemons.
class console_gateway
{
public:
    console_gateway(
        http_server_settings settings, bounded_ring<console_request>& requests);

    void run();
    void stop();

    /// Sends the response to the browser. Any thread may call this function.
    void answer(request_token token, http_response response);

    std::uint16_t port() const;

    void on_request(request_token token, http_request const& request);
    void on_client_disconnected(request_token token);

private:
    bounded_ring<console_request>& requests_;
    http_server<console_gateway> server_;
};

} // namespace samphire
