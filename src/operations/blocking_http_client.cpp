#include "operations/blocking_http_client.hpp"

#include <algorithm>

namespace samphire
{

blocking_http_client::blocking_http_client(std::size_t max_response_bytes)
    : client_(max_in_progress, *this, max_response_bytes),
      thread_("daemons", [this] { client_.run(); })
{
}

blocking_http_client::~blocking_http_client()
{
    results_.close();
    client_.stop();
}

std::vector<std::optional<http_response>>
blocking_http_client::send_all(std::vector<outgoing_request> const& requests)
{
    std::vector<std::optional<http_response>> responses(requests.size());
    absl::Duration longest_timeout;
    for (outgoing_request const& request : requests)
        longest_timeout = std::max(longest_timeout, request.timeout_);
    std::uint64_t const first_token = last_token_.value() + 1;
    std::size_t sent_count = 0;
    std::size_t in_progress = 0;
    while (sent_count < requests.size() || in_progress > 0)
    {
        while (sent_count < requests.size() && in_progress < max_in_progress)
        {
            last_token_ = last_token_.next();
            bool const accepted =
                client_.send(last_token_, requests[sent_count++]);
            in_progress += accepted ? 1 : 0;
        }
        // The HTTP client ends each request within the timeout of the request,
        // so this longer wait should not expire.
        auto const result = results_.pop(longest_timeout + absl::Seconds(5));
        if (!result)
            break;
        if (result->token_.value() < first_token)
            continue;
        --in_progress;
        if (result->response_)
            responses[result->token_.value() - first_token].emplace(
                *result->response_);
    }
    return responses;
}

void blocking_http_client::on_response(
    request_token token, http_response const& response)
{
    results_.push({token, response});
}

void blocking_http_client::on_failure(request_token token, http_client_error)
{
    results_.push({token, std::nullopt});
}

} // namespace samphire
