#include "operations/http_calls.hpp"

#include <algorithm>

namespace samphire
{

http_calls::http_calls()
    : client_(capacity, *this), thread_("daemons", [this] { client_.run(); })
{
}

http_calls::~http_calls()
{
    ended_.close();
    client_.stop();
}

std::vector<std::optional<http_response>>
http_calls::send_all(std::vector<outgoing_request> const& requests)
{
    std::vector<std::optional<http_response>> responses(requests.size());
    absl::Duration longest;
    for (outgoing_request const& request : requests)
        longest = std::max(longest, request.timeout_);
    std::uint64_t const first = last_.value() + 1;
    std::size_t sent = 0;
    std::size_t in_progress = 0;
    while (sent < requests.size() || in_progress > 0)
    {
        while (sent < requests.size() && in_progress < capacity)
        {
            last_ = last_.next();
            bool const taken = client_.send(last_, requests[sent++]);
            in_progress += taken ? 1 : 0;
        }
        // The client ends each request by itself within its timeout.
        auto const end = ended_.pop(longest + absl::Seconds(5));
        if (!end)
            break;
        if (end->token_.value() < first)
            continue;
        --in_progress;
        if (end->response_)
            responses[end->token_.value() - first].emplace(*end->response_);
    }
    return responses;
}

void http_calls::on_response(request_token token, http_response const& response)
{
    ended_.push({token, response});
}

void http_calls::on_failure(request_token token, http_client_error)
{
    ended_.push({token, std::nullopt});
}

} // namespace samphire
