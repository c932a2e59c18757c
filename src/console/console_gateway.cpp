#include "console/console_gateway.hpp"

#include <utility>

namespace samphire
{

console_gateway::console_gateway(
    http_server_settings settings, bounded_ring<console_request>& requests)
    : requests_(requests), server_(std::move(settings), *this)
{
}

void console_gateway::run()
{
    server_.run();
}

void console_gateway::stop()
{
    server_.stop();
}

void console_gateway::answer(request_token token, http_response response)
{
    server_.answer(token, std::move(response));
}

std::uint16_t console_gateway::port() const
{
    return server_.port();
}

void console_gateway::on_request(
    request_token token, http_request const& request)
{
    if (!requests_.try_push({token, request}))
        server_.answer(
            token,
            {.status_ = 503,
             .body_ = payload("too many requests; nothing was changed\n")});
}

void console_gateway::on_client_disconnected(request_token)
{
    // The request of a disconnected browser is still handled to its end, since
    // an update of the policy object may already be in progress.
}

} // namespace samphire
