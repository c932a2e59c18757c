#pragma once

#include "base/bounded_ring.hpp"
#include "base/duty_thread.hpp"
#include "http/http_client.hpp"
#include "operations/http_request_result.hpp"

#include <optional>
#include <vector>

namespace samphire
{

/// Blocking HTTP client for programs that query daemons. The transfers run on
/// a thread of its own, "daemons"; only one thread may call send_all().
class blocking_http_client
{
public:
    /// `max_response_bytes`: maximum size of all responses that are being
    /// received.
    explicit blocking_http_client(
        std::size_t max_response_bytes =
            http_client<blocking_http_client>::default_max_response_bytes);
    ~blocking_http_client();

    /// Sends the requests and waits for their responses. Returns one entry for
    /// each request, in the same order; an entry is empty when there was no
    /// complete response.
    std::vector<std::optional<http_response>>
    send_all(std::vector<outgoing_request> const& requests);

    void on_response(request_token token, http_response const& response);
    void on_failure(request_token token, http_client_error error);

private:
    /// Further requests are sent when an earlier one ends.
    static constexpr std::size_t max_in_progress = 64;

    request_token last_token_{};
    bounded_ring<http_request_result> results_{2 * max_in_progress};
    http_client<blocking_http_client> client_;
    duty_thread thread_;
};

} // namespace samphire
